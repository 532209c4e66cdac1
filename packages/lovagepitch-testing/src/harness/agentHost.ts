/**
 * Simulated process of an agent, with the backend server that it dispatches tasks to.
 */
import type { AgentCore } from "@lovagepitch/agent/core/agentCore";
import type { AgentInput } from "@lovagepitch/agent/core/agentInput";
import type { AgentOutput, TaskDispatch } from "@lovagepitch/agent/core/agentOutput";
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { AgentRegistration } from "@lovagepitch/types/registry";
import { createAgentCore } from "./cores.js";
import type { AgentPlacement } from "./deploymentSettings.js";
import type { FakeBackendServer } from "./fakeBackendServer.js";
import type { HostContext } from "./hostContext.js";
import { ProcessHost } from "./processHost.js";

/** Delay before a failed write of the handover is retried. */
const retryDelayMilliseconds = 500;

/** Runs the core of an agent and performs its outputs. */
export class AgentHost extends ProcessHost<AgentInput, AgentOutput, AgentCore> {
    private isStopping = false;
    private isHandingOver = false;

    /**
     * @param context - parts that all processes of the deployment share
     * @param address - address of the agent
     * @param placement - worker, zone and capacity of the agent
     * @param backendServer - backend server on the same worker
     */
    public constructor(
        context: HostContext,
        address: PeerAddress,
        private readonly placement: AgentPlacement,
        public readonly backendServer: FakeBackendServer,
    ) {
        super(context, address, placement.availabilityZone, "agent");
    }

    /** Name of the worker that the agent runs on. */
    public get worker(): string {
        return this.placement.worker;
    }

    /** Starts the graceful shutdown of the agent. */
    public stop(): void {
        if (this.state === "stopped" || this.isStopping) {
            return;
        }
        this.isStopping = true;
        this.context.record.gracefulShutdowns.push({
            process: this.name,
            worker: this.worker,
            fromMilliseconds: this.context.clock.nowMilliseconds(),
            untilMilliseconds: undefined,
        });
        this.runWhenActive(() => {
            this.recordDrainStart();
            this.accept({ type: "stop" });
        });
    }

    /** Makes the backend server announce that it is leaving. */
    public drainBackendServer(): void {
        this.backendServer.isServing = false;
        if (this.state !== "stopped") {
            // A stopped agent cannot receive the announcement, so no drain period begins.
            this.runWhenActive(() => {
                this.recordDrainStart();
                this.accept({ type: "backendLeaving" });
            });
        }
    }

    /** {@inheritDoc ProcessHost.acceptBatch} */
    public override acceptBatch(batch: PeerBatch): void {
        this.accept({ type: "peerBatch", batch });
    }

    /** {@inheritDoc ProcessHost.acceptUnreachable} */
    public override acceptUnreachable(address: PeerAddress): void {
        this.accept({ type: "peerUnreachable", address });
    }

    /** {@inheritDoc ProcessHost.createCore} */
    protected override createCore(): AgentCore {
        return createAgentCore(this.context, this.identity, this.placement);
    }

    /** {@inheritDoc ProcessHost.runStartup} */
    protected override runStartup(): void {
        this.isStopping = false;
        this.isHandingOver = false;
        this.readManifest();
        // A random first delay keeps processes that start together from polling at the same time.
        const firstPoll = this.context.random.nextFraction() * this.context.settings.intervals.manifestPoll;
        this.runLater(firstPoll, () => this.pollManifest());
        this.pollEntries();
        this.announceBackendServer();
    }

    /** {@inheritDoc ProcessHost.handleExit} */
    protected override handleExit(): void {}

    /** {@inheritDoc ProcessHost.performOutput} */
    protected override performOutput(output: AgentOutput): void {
        switch (output.type) {
            case "send":
                this.queueMessage(output);
                break;
            case "dispatch":
                this.dispatch(output.task);
                break;
            case "register":
                this.register();
                break;
            case "deregister":
                this.deregister();
                break;
            case "readManifest":
                this.readManifest();
                break;
            case "decision":
                this.recordDecision(output.decision);
                break;
        }
    }

    /** {@inheritDoc ProcessHost.finishGracefulShutdown} */
    protected override finishGracefulShutdown(): void {
        const { core } = this;
        if (!this.isStopping || this.isHandingOver || core === undefined || !core.isDrained()) {
            return;
        }
        this.isHandingOver = true;
        this.writeHandover();
    }

    private recordDrainStart(): void {
        const drainStartedAtMilliseconds = this.context.clock.nowMilliseconds();
        const drainPeriod = { worker: this.worker, drainStartedAtMilliseconds, drainEndedAtMilliseconds: undefined };
        this.context.record.drainPeriods.push(drainPeriod);
    }

    private recordDrainEnd(): void {
        const { drainPeriods } = this.context.record;
        for (const [position, drainPeriod] of drainPeriods.entries()) {
            if (drainPeriod.worker === this.worker && drainPeriod.drainEndedAtMilliseconds === undefined) {
                const drainEndedAtMilliseconds = this.context.clock.nowMilliseconds();
                drainPeriods[position] = { ...drainPeriod, drainEndedAtMilliseconds };
            }
        }
    }

    private dispatch(task: TaskDispatch): void {
        const { submission, index } = task;
        this.backendServer.runTask(
            task,
            this.bindToIncarnation(outcome => {
                this.accept({ type: "taskEnded", submission, index, outcome });
            }),
        );
    }

    private announceBackendServer(): void {
        const { isServing, isLinkSilent, announcement } = this.backendServer;
        if (isServing && !isLinkSilent) {
            if (!this.isStopping) {
                this.recordDrainEnd();
            }
            this.accept({ type: "backendAnnounced", announcement });
        }
        this.runLater(this.context.settings.intervals.backendServerAnnouncement, () => this.announceBackendServer());
    }

    private register(): void {
        const { worker, rack, availabilityZone, cores, memoryMegabytes } = this.placement;
        const row: Omit<AgentRegistration, "number"> = {
            ...this.identity,
            worker,
            rack,
            availabilityZone,
            cores,
            memoryMegabytes,
            state: "serving",
            renewedAtMilliseconds: this.context.coreClock.nowMilliseconds(),
        };
        this.context.platform.registerAgent(
            row,
            this.bindToIncarnation(reply => {
                if (reply === undefined) {
                    this.resolveLostRegistration();
                }
                else {
                    this.completeRegistration(reply.value);
                }
            }),
        );
    }

    /** Reads the row back, since the unanswered write may have taken effect. */
    private resolveLostRegistration(): void {
        this.context.platform.readAgent(
            this.identity.incarnation,
            this.bindToIncarnation(reply => {
                if (reply?.value === undefined) {
                    this.accept({ type: "registrationFailed" });
                }
                else {
                    this.completeRegistration(reply.value.number);
                }
            }),
        );
    }

    private completeRegistration(number: number): void {
        this.accept({ type: "registered", number });
        this.readEntries();
    }

    private deregister(): void {
        this.context.platform.deregisterAgent(this.identity.incarnation, () => undefined);
    }

    private writeHandover(): void {
        const handover = this.core?.createLedgerHandover();
        if (handover === undefined) {
            return;
        }
        const name = `ledger/${this.identity.incarnation}`;
        this.context.platform.putHandover(
            name,
            handover,
            this.bindToIncarnation(reply => {
                if (reply === undefined) {
                    this.runLater(retryDelayMilliseconds, () => this.writeHandover());
                }
                else {
                    this.deregisterAndStop();
                }
            }),
        );
    }

    private deregisterAndStop(): void {
        this.context.platform.deregisterAgent(
            this.identity.incarnation,
            this.bindToIncarnation(() => {
                if (this.core?.isDrained() === true) {
                    this.context.recordGracefulShutdownEnd(this.name);
                    this.crash();
                    return;
                }
                // New work arrived during the write, so the handover is written again after the next drain.
                this.isHandingOver = false;
            }),
        );
    }

    private pollManifest(): void {
        this.readManifest();
        this.runLater(this.context.settings.intervals.manifestPoll, () => this.pollManifest());
    }

    private pollEntries(): void {
        this.readEntries();
        this.runLater(this.context.settings.intervals.registryPoll, () => this.pollEntries());
    }

    private readManifest(): void {
        this.context.platform.readManifest(this.bindToIncarnation(reply => {
            if (reply?.value !== undefined) {
                this.accept({ type: "manifestAccepted", manifest: reply.value });
            }
        }));
    }

    private readEntries(): void {
        this.context.platform.readRegistry(this.bindToIncarnation(reply => {
            if (reply !== undefined) {
                this.accept({ type: "entriesRead", entries: reply.value.entries });
            }
        }));
    }
}
