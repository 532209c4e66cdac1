/**
 * Fault injection for the platform's stand-ins.
 */
import { PlatformError } from "@lovagepitch/platform/platformError";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";

const defaultSeed = 1;

/** Faults that a control request or a test sets; a missing field leaves that fault unchanged. */
export interface PlatformFaultSettings {
    /** Every operation fails and has no effect. */
    readonly down?: boolean;
    /** The HTTP server never answers; the in-memory stand-ins fail immediately. */
    readonly silent?: boolean;
    /** Delay before each operation, in milliseconds. */
    readonly slowMilliseconds?: number;
    /** Number of the next writes that are applied although their answers are lost. */
    readonly lostAnswers?: number;
    /** Fraction of all writes that are applied although their answers are lost, from 0 to 1. */
    readonly lostAnswerShare?: number;
    /** Number of the next writes that are lost before they take effect. */
    readonly lostRequests?: number;
    /** Number of the next writes that fail for their sender and are applied by a later call of `releaseHeldWrites`. */
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
 * Validates the faults in a request body.
 *
 * @param value - parsed JSON body
 * @returns the faults to change, or an error that names the invalid field
 */
export function parseFaultSettings(value: unknown): Result<PlatformFaultSettings, PlatformError> {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return Err(new PlatformError("invalid", "Faults are a JSON object; see PlatformFaultSettings"));
    }
    for (const [name, setting] of Object.entries(value)) {
        const known = Object.entries(noFaults).find(([knownName]) => knownName === name);
        if (known === undefined || typeof known[1] !== typeof setting) {
            return Err(
                new PlatformError("invalid", `${name} is no fault of that type; see PlatformFaultSettings`),
            );
        }
    }
    return Ok(value);
}

/** Outcome of a write under the current faults. */
export type WriteOutcome = "answered" | "answer-lost" | "request-lost" | "held";

/** Current faults of a stand-in. */
export class PlatformFaults {
    private settings = noFaults;
    private readonly deferredWrites: (() => void)[] = [];

    /**
     * @param delay - waits for a number of milliseconds; by default it does not wait
     * @param random - selects the writes whose answers are lost when `lostAnswerShare` is set
     */
    public constructor(
        private readonly delay: (milliseconds: number) => Promise<void> = () => Promise.resolve(),
        private readonly random: RandomSource = new RandomSource(defaultSeed),
    ) {}

    /** The current faults. */
    public get current(): Required<PlatformFaultSettings> {
        return this.settings;
    }

    /**
     * Changes faults.
     *
     * @param settings - faults to change
     */
    public set(settings: PlatformFaultSettings): void {
        this.settings = { ...this.settings, ...settings };
    }

    /** Removes all faults. Writes that are already held stay held. */
    public clear(): void {
        this.settings = noFaults;
    }

    /**
     * Applies the delay and the outage faults to an operation before it takes effect.
     *
     * @returns the error if the service is down or silent, otherwise undefined
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
     * Determines the outcome of the next write and updates the fault counters.
     *
     * @returns outcome of the write
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
     * Holds a write until `releaseHeldWrites` is called.
     *
     * @param apply - applies the write if its conditions are met at that time
     */
    public deferWrite(apply: () => void): void {
        this.deferredWrites.push(apply);
    }

    /** Applies the held writes in the order in which they arrived. */
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
