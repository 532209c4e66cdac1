/**
 * Base class of the simulated processes: ticks a core and can crash, freeze, resume and restart.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { PeerAddress, PeerIdentity } from "@lovagepitch/types/identity";
import type { OutgoingMessage, PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import type { Core } from "@lovagepitch/utils/core";
import type { HostContext } from "./hostContext.js";
import type { NetworkEndpoint, ProcessState } from "./network.js";

/** Minimum delay between a tick and the next one that its core requests. */
const minimumWakeDelayMilliseconds = 1;

/** Runs a core at an address of the network. */
export abstract class ProcessHost<Input, Output, ProcessCore extends Core<Input, Output>> implements NetworkEndpoint {
    /** {@inheritDoc NetworkEndpoint.state} */
    public state: ProcessState = "stopped";
    /** Address and incarnation of the process; the incarnation is empty before the first start. */
    public identity: PeerIdentity;
    /** Configuration version that the core last put in force; 0 if none. */
    public configurationVersion = 0;
    /** Core of the current incarnation; undefined while the process is stopped. */
    protected core: ProcessCore | undefined;
    private readonly heldInputs: Input[] = [];
    private readonly heldActions: (() => void)[] = [];
    private readonly queuedMessages = new Map<PeerAddress, PeerMessage[]>();
    private heldOutputs: readonly Output[] | undefined;
    private shouldFreezeAfterNextTick = false;
    private isTickScheduled = false;
    private wakeAtMilliseconds = Number.POSITIVE_INFINITY;

    /**
     * @param context - parts that all processes of the deployment share
     * @param address - address of the process
     * @param availabilityZone - availability zone of the process
     * @param role - role that the process sends in its batches
     */
    protected constructor(
        protected readonly context: HostContext,
        public readonly address: PeerAddress,
        public readonly availabilityZone: string,
        private readonly role: PeerBatch["role"],
    ) {
        this.identity = { address, incarnation: "" };
    }

    /** Address and incarnation as one string, which identifies the process in records. */
    public get name(): string {
        return `${this.identity.address}/${this.identity.incarnation}`;
    }

    /** Starts a new incarnation of the process unless it is already started. */
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

    /** Ends the process immediately, without cleanup. */
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
        this.context.cancelGracefulShutdown(this.name);
        this.handleExit();
    }

    /** Pauses the process; its inputs are kept until it resumes. */
    public freeze(): void {
        if (this.state === "running") {
            this.state = "frozen";
            this.context.recordProcessEnd(this.name);
        }
    }

    /** Pauses the process after its next tick with outputs, before these outputs are performed. */
    public freezeBetweenTickAndOutputs(): void {
        this.shouldFreezeAfterNextTick = true;
    }

    /** Resumes a frozen process: performs the held outputs, then processes the held inputs and actions. */
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
        // The tick processes the held inputs and checks whether a graceful shutdown is complete.
        this.scheduleTick();
    }

    /**
     * Passes an input to the core, or keeps it while the process is frozen.
     *
     * @param input - input of the core
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
     * Creates the core of a new incarnation.
     *
     * @returns the core
     */
    protected abstract createCore(): ProcessCore;

    /** Registers the process and starts its periodic operations. */
    protected abstract runStartup(): void;

    /** Handles the end of the process. */
    protected abstract handleExit(): void;

    /**
     * Performs an output of the core.
     *
     * @param output - output of the latest tick
     */
    protected abstract performOutput(output: Output): void;

    /** Completes a graceful shutdown once the core is drained; called after each tick. */
    protected abstract finishGracefulShutdown(): void;

    /**
     * Runs an action after a delay, unless the current incarnation has ended by then.
     *
     * @param delayMilliseconds - delay in milliseconds
     * @param action - action to run; postponed further while the process is frozen
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
     * Binds a reply handler to the current incarnation. Replies that arrive after its end are dropped.
     *
     * @param handle - handles the reply
     * @returns handler that calls `handle` only while the incarnation lasts
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
     * Runs an action now, or when the frozen process resumes.
     *
     * @param action - action to run
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
     * Queues a message; the messages of a tick are sent as one batch for each destination.
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
     * Reports a decision to the observer and records the configuration version that it puts in force, if any.
     *
     * @param decision - decision of the core
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
        this.finishGracefulShutdown();
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
