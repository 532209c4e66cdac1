/**
 * A process of a deployment in one process: it ticks its core and can crash, freeze, resume and restart.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { PeerAddress, PeerIdentity } from "@lovagepitch/types/identity";
import type { OutgoingMessage, PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import type { Core } from "@lovagepitch/utils/core";
import type { HostContext } from "./hostContext.js";
import type { NetworkEndpoint, ProcessState } from "./network.js";

/** Shortest time between a tick and the one that its core asked for, in milliseconds. */
const minimumWakeDelayMilliseconds = 1;

/** Runs one core at one address. */
export abstract class ProcessHost<Input, Output, ProcessCore extends Core<Input, Output>> implements NetworkEndpoint {
    /** {@inheritDoc NetworkEndpoint.state} */
    public state: ProcessState = "stopped";
    /** The present life of the process. */
    public identity: PeerIdentity;
    /** Newest configuration version that the core put in force. */
    public configurationVersion = 0;
    /** The core of the present life. */
    protected core: ProcessCore | undefined;
    private readonly heldInputs: Input[] = [];
    private readonly heldActions: (() => void)[] = [];
    private readonly queuedMessages = new Map<PeerAddress, PeerMessage[]>();
    private heldOutputs: readonly Output[] | undefined;
    private shouldFreezeAfterNextTick = false;
    private isTickScheduled = false;
    private wakeAtMilliseconds = Number.POSITIVE_INFINITY;

    /**
     * @param context - what all processes of the deployment share
     * @param address - address of the process
     * @param availabilityZone - its zone
     * @param role - entry or agent
     */
    protected constructor(
        protected readonly context: HostContext,
        public readonly address: PeerAddress,
        public readonly availabilityZone: string,
        private readonly role: PeerBatch["role"],
    ) {
        this.identity = { address, incarnation: "" };
    }

    /** Address and incarnation in one word, for records. */
    public get name(): string {
        return `${this.identity.address}/${this.identity.incarnation}`;
    }

    /** Starts a new life of the process, unless it runs. */
    public start(): void {
        if (this.state !== "stopped") {
            return;
        }
        this.identity = { address: this.address, incarnation: this.context.createIncarnation() };
        this.configurationVersion = 0;
        this.wakeAtMilliseconds = Number.POSITIVE_INFINITY;
        this.core = this.createCore();
        this.state = "running";
        this.context.recordProcessStart(this.name);
        this.scheduleTick();
        this.runStartup();
    }

    /** Ends the process at once. */
    public crash(): void {
        if (this.state === "stopped") {
            return;
        }
        this.state = "stopped";
        this.core = undefined;
        this.heldInputs.length = 0;
        this.heldActions.length = 0;
        this.heldOutputs = undefined;
        this.shouldFreezeAfterNextTick = false;
        this.isTickScheduled = false;
        this.context.recordProcessEnd(this.name);
        this.context.cancelPlannedStop(this.name);
        this.handleExit();
    }

    /** Pauses the process; its inputs pile up. */
    public freeze(): void {
        if (this.state === "running") {
            this.state = "frozen";
            this.context.recordProcessEnd(this.name);
        }
    }

    /** Pauses the process between its next tick and the messages of that tick. */
    public freezeBetweenTickAndOutputs(): void {
        this.shouldFreezeAfterNextTick = true;
    }

    /** Lets a paused process go on. */
    public resume(): void {
        this.shouldFreezeAfterNextTick = false;
        if (this.state !== "frozen") {
            return;
        }
        this.state = "running";
        this.context.recordProcessStart(this.name);
        const outputs = this.heldOutputs ?? [];
        this.heldOutputs = undefined;
        this.performOutputs(outputs);
        for (const input of this.heldInputs.splice(0)) {
            this.core?.accept(input);
        }
        for (const action of this.heldActions.splice(0)) {
            action();
        }
        // The tick also looks whether a planned stop is done, with the inputs that piled up.
        this.scheduleTick();
    }

    /**
     * Hands an input to the core, or keeps it while the process is paused.
     *
     * @param input - the input
     */
    public accept(input: Input): void {
        if (this.state === "running") {
            this.core?.accept(input);
            this.scheduleTick();
        }
        else if (this.state === "frozen") {
            this.heldInputs.push(input);
        }
    }

    /** {@inheritDoc NetworkEndpoint.acceptBatch} */
    public abstract acceptBatch(batch: PeerBatch): void;

    /** {@inheritDoc NetworkEndpoint.acceptUnreachable} */
    public abstract acceptUnreachable(address: PeerAddress): void;

    /**
     * Makes the core of a new life.
     *
     * @returns the core
     */
    protected abstract createCore(): ProcessCore;

    /** Does what the process does at its start. */
    protected abstract runStartup(): void;

    /** Does what follows from the process's end. */
    protected abstract handleExit(): void;

    /**
     * Carries out one output other than a message or a decision.
     *
     * @param output - the output
     */
    protected abstract performOutput(output: Output): void;

    /** Looks after a tick whether a planned stop is done. */
    protected abstract finishPlannedStop(): void;

    /**
     * Runs something later, unless this life has ended by then.
     *
     * @param delayMilliseconds - how much later
     * @param action - what to run
     */
    protected runLater(delayMilliseconds: number, action: () => void): void {
        const { core } = this;
        const at = this.context.clock.nowMilliseconds() + delayMilliseconds;
        this.context.queue.schedule(at, (scheduledCore: ProcessCore | undefined) => {
            if (this.core === scheduledCore && scheduledCore !== undefined) {
                this.runWhenActive(action);
            }
        }, core);
    }

    /**
     * Binds a handler to this life of the process; what comes to a later one is dropped.
     *
     * @param handle - handles a reply
     * @returns the handler to pass on
     */
    protected bindToIncarnation<Value>(handle: (value: Value) => void): (value: Value) => void {
        const { core } = this;
        return value => {
            if (core === this.core && core !== undefined) {
                this.runWhenActive(() => handle(value));
            }
        };
    }

    /**
     * Does something now, or once a paused process goes on.
     *
     * @param action - what to do
     */
    protected runWhenActive(action: () => void): void {
        if (this.state === "frozen") {
            this.heldActions.push(action);
        }
        else {
            action();
        }
    }

    /**
     * Collects a message of the present tick.
     *
     * @param message - the message and its destination
     */
    protected queueMessage(message: OutgoingMessage): void {
        const messages = this.queuedMessages.get(message.destination);
        if (messages === undefined) {
            this.queuedMessages.set(message.destination, [message.message]);
        }
        else {
            messages.push(message.message);
        }
    }

    /**
     * Notes a decision and the configuration version it names.
     *
     * @param decision - the decision
     */
    protected recordDecision(decision: Decision): void {
        this.context.observer.decisionMade?.(this.name, decision);
        if (decision.decision === "configured") {
            this.configurationVersion = decision.configurationVersion;
            this.context.recordConfigurationVersion(this.name, decision.configurationVersion);
        }
    }

    private scheduleTick(): void {
        if (!this.isTickScheduled && this.core !== undefined) {
            this.isTickScheduled = true;
            this.context.queue.schedule(this.context.clock.nowMilliseconds(), this.runTick, this.core);
        }
    }

    private readonly runTick = (core: ProcessCore | undefined): void => {
        if (core === undefined || core !== this.core) {
            return;
        }
        this.isTickScheduled = false;
        if (this.state !== "running") {
            return;
        }
        const outputs = core.tick();
        if (this.shouldFreezeAfterNextTick && outputs.length > 0) {
            this.freeze();
            this.heldOutputs = outputs;
            return;
        }
        this.performOutputs(outputs);
        this.finishPlannedStop();
        if (this.core === core) {
            this.scheduleWake(core);
        }
    };

    private performOutputs(outputs: readonly Output[]): void {
        for (const output of outputs) {
            this.performOutput(output);
        }
        this.sendQueuedMessages();
    }

    private sendQueuedMessages(): void {
        for (const [destination, messages] of this.queuedMessages) {
            this.context.network.send(this, destination, {
                sender: this.identity,
                role: this.role,
                configurationVersion: this.configurationVersion,
                messages,
            });
        }
        this.queuedMessages.clear();
    }

    private scheduleWake(core: ProcessCore): void {
        const wakeAt = core.nextWakeAtMilliseconds();
        if (wakeAt === undefined) {
            this.wakeAtMilliseconds = Number.POSITIVE_INFINITY;
            return;
        }
        const now = this.context.clock.nowMilliseconds();
        const at = Math.max(wakeAt, now + minimumWakeDelayMilliseconds);
        const isCovered = this.wakeAtMilliseconds > now && this.wakeAtMilliseconds <= at;
        if (!isCovered) {
            this.wakeAtMilliseconds = at;
            this.context.queue.schedule(at, this.handleWake, core);
        }
    }

    private readonly handleWake = (core: ProcessCore): void => {
        if (core !== this.core) {
            return;
        }
        if (this.context.clock.nowMilliseconds() >= this.wakeAtMilliseconds) {
            this.wakeAtMilliseconds = Number.POSITIVE_INFINITY;
        }
        if (this.state === "running") {
            this.scheduleTick();
        }
    };
}
