/**
 * Faults of the platform's stand-ins, switched on by tests.
 */
import { PlatformError } from "@lovagepitch/platform/platformError";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";

const defaultSeed = 1;

/** Faults that a control request or a test can set; each one left out keeps its value. */
export interface PlatformFaultSettings {
    /** Every operation fails and has no effect. */
    readonly down?: boolean;
    /** Operations are never answered; in memory they fail at once. */
    readonly silent?: boolean;
    /** Wait before each operation, in milliseconds. */
    readonly slowMilliseconds?: number;
    /** Writes to come that are applied although their answer is lost. */
    readonly lostAnswers?: number;
    /** Share of all writes that are applied although their answer is lost, from 0 to 1. */
    readonly lostAnswerShare?: number;
    /** Writes to come that are lost before they have an effect. */
    readonly lostRequests?: number;
    /** Writes to come that fail for their sender and are applied by a later call of `releaseHeldWrites`. */
    readonly heldWrites?: number;
}

const noFaults: Required<PlatformFaultSettings> = {
    down: false,
    silent: false,
    slowMilliseconds: 0,
    lostAnswers: 0,
    lostAnswerShare: 0,
    lostRequests: 0,
    heldWrites: 0,
};

/**
 * Checks faults that came in a request.
 *
 * @param value - a JSON value
 * @returns the faults to change, or the error that names what is wrong
 */
export function parseFaultSettings(value: unknown): Result<PlatformFaultSettings, PlatformError> {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return Err(new PlatformError("invalid", "Faults are a JSON object; see PlatformFaultSettings"));
    }
    for (const [name, setting] of Object.entries(value)) {
        const known = Object.entries(noFaults).find(([knownName]) => knownName === name);
        if (known === undefined || typeof known[1] !== typeof setting) {
            return Err(new PlatformError("invalid", `${name} is no fault of that type; see PlatformFaultSettings`));
        }
    }
    return Ok(value);
}

/** What becomes of one write. */
export type WriteOutcome = "answered" | "answer-lost" | "request-lost" | "held";

/** Faults in force at one stand-in. */
export class PlatformFaults {
    private settings = noFaults;
    private readonly deferredWrites: (() => void)[] = [];

    /**
     * @param delay - waits the given number of milliseconds
     * @param random - decides which writes belong to the share that loses its answer
     */
    public constructor(
        private readonly delay: (milliseconds: number) => Promise<void> = () => Promise.resolve(),
        private readonly random: RandomSource = new RandomSource(defaultSeed),
    ) {}

    /** Faults in force now. */
    public get current(): Required<PlatformFaultSettings> {
        return this.settings;
    }

    /**
     * Switches faults.
     *
     * @param settings - the faults to change
     */
    public set(settings: PlatformFaultSettings): void {
        this.settings = { ...this.settings, ...settings };
    }

    /** Switches every fault off; held writes stay held. */
    public clear(): void {
        this.settings = noFaults;
    }

    /**
     * Waits as long as an operation is slowed.
     *
     * @returns the error when the service is down, else undefined
     */
    public async beginOperation(): Promise<PlatformError | undefined> {
        if (this.settings.slowMilliseconds > 0) {
            await this.delay(this.settings.slowMilliseconds);
        }
        if (this.settings.down || this.settings.silent) {
            return new PlatformError("unavailable", "The platform's stand-in is down; switch the fault off");
        }
        return undefined;
    }

    /**
     * Decides what becomes of the next write.
     *
     * @returns its fate
     */
    public nextWriteOutcome(): WriteOutcome {
        if (this.consumeFault("lostRequests")) {
            return "request-lost";
        }
        if (this.consumeFault("heldWrites")) {
            return "held";
        }
        if (this.consumeFault("lostAnswers") || this.drawLostAnswer()) {
            return "answer-lost";
        }
        return "answered";
    }

    /**
     * Keeps a write for later.
     *
     * @param apply - applies the write if its conditions hold then
     */
    public deferWrite(apply: () => void): void {
        this.deferredWrites.push(apply);
    }

    /** Applies the held writes, oldest first. */
    public releaseHeldWrites(): void {
        for (const apply of this.deferredWrites.splice(0)) {
            apply();
        }
    }

    private consumeFault(name: "lostRequests" | "heldWrites" | "lostAnswers"): boolean {
        const remaining = this.settings[name];
        if (remaining <= 0) {
            return false;
        }
        this.set({ [name]: remaining - 1 });
        return true;
    }

    private drawLostAnswer(): boolean {
        const share = this.settings.lostAnswerShare;
        return share > 0 && this.random.nextFraction() < share;
    }
}
