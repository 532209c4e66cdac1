/**
 * An agent of a deployment in one process, and the backend server beside it.
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

/** Time between two attempts to write what must last, in milliseconds. */
const retryMilliseconds = 500;

/** Runs an agent's core. */
export class AgentHost extends ProcessHost<AgentInput, AgentOutput, AgentCore> {
    private isStopping = false;
    private isHandingOver = false;

    /**
     * @param context - what all processes share
     * @param address - the agent's address
     * @param placement - where it runs
     * @param backendServer - the server beside it
     */
    public constructor(
        context: HostContext,
        address: PeerAddress,
        private readonly placement: AgentPlacement,
        public readonly backendServer: FakeBackendServer,
    ) {
        super(context, address, placement.availabilityZone, "agent");
    }

    /** Name of the machine. */
    public get worker(): string {
        return this.placement.worker;
    }

    /** Begins a planned stop of the agent. */
    public stop(): void {
        if (this.state === "stopped" || this.isStopping) {
            return;
        }
        this.isStopping = true;
        this.context.record.plannedStops.push({
            process: this.name,
            worker: this.worker,
            fromMilliseconds: this.context.clock.nowMilliseconds(),
            untilMilliseconds: undefined,
        });
        this.act(() => {
            this.recordDeparture();
            this.accept({ type: "stop" });
        });
    }

    /** Lets the backend server say that it is leaving. */
    public drainBackendServer(): void {
        this.backendServer.isServing = false;
        if (this.state !== "stopped") {
            // Only an agent that runs can hear of it and answer.
            this.act(() => {
                this.recordDeparture();
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

    /** {@inheritDoc ProcessHost.started} */
    protected override started(): void {
        this.isStopping = false;
        this.isHandingOver = false;
        this.readManifest();
        // Processes that start together must not poll together.
        const firstPoll = this.context.random.nextFraction() * this.context.settings.intervals.manifestPoll;
        this.runLater(firstPoll, () => this.pollManifest());
        this.pollEntries();
        this.announceBackendServer();
    }

    /** {@inheritDoc ProcessHost.ended} */
    protected override ended(): void {}

    /** {@inheritDoc ProcessHost.perform} */
    protected override perform(output: AgentOutput): void {
        switch (output.type) {
            case "send":
                this.send(output);
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
                this.note(output.decision);
                break;
        }
    }

    /** {@inheritDoc ProcessHost.finishStop} */
    protected override finishStop(): void {
        const { core } = this;
        if (!this.isStopping || this.isHandingOver || core === undefined || !core.isDrained()) {
            return;
        }
        this.isHandingOver = true;
        this.handOver();
    }

    private recordDeparture(): void {
        const leftAtMilliseconds = this.context.clock.nowMilliseconds();
        const departure = { worker: this.worker, leftAtMilliseconds, returnedAtMilliseconds: undefined };
        this.context.record.drainPeriods.push(departure);
    }

    private recordReturn(): void {
        const { drainPeriods: departures } = this.context.record;
        for (const [position, departure] of departures.entries()) {
            if (departure.worker === this.worker && departure.drainEndedAtMilliseconds === undefined) {
                const returnedAtMilliseconds = this.context.clock.nowMilliseconds();
                departures[position] = { ...departure, drainEndedAtMilliseconds: returnedAtMilliseconds };
            }
        }
    }

    private dispatch(task: TaskDispatch): void {
        const { submission, index } = task;
        this.backendServer.run(
            task,
            this.ofThisLife(outcome => {
                this.accept({ type: "taskEnded", submission, index, outcome });
            }),
        );
    }

    private announceBackendServer(): void {
        const { isServing, isLinkSilent, offer } = this.backendServer;
        if (isServing && !isLinkSilent) {
            if (!this.isStopping) {
                this.recordReturn();
            }
            this.accept({ type: "backendAnnounced", offer });
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
            this.ofThisLife(reply => {
                if (reply === undefined) {
                    this.resolveLostRegistration();
                }
                else {
                    this.registered(reply.value);
                }
            }),
        );
    }

    /** The write may have taken effect, so only the row can tell. */
    private resolveLostRegistration(): void {
        this.context.platform.readAgent(
            this.identity.incarnation,
            this.ofThisLife(reply => {
                if (reply?.value === undefined) {
                    this.accept({ type: "registrationFailed" });
                }
                else {
                    this.registered(reply.value.number);
                }
            }),
        );
    }

    private registered(number: number): void {
        this.accept({ type: "registered", number });
        this.readEntries();
    }

    private deregister(): void {
        this.context.platform.deregisterAgent(this.identity.incarnation, () => undefined);
    }

    private handOver(): void {
        const handover = this.core?.createLedgerHandover();
        if (handover === undefined) {
            return;
        }
        const name = `ledger/${this.identity.incarnation}`;
        this.context.platform.putHandover(
            name,
            handover,
            this.ofThisLife(reply => {
                if (reply === undefined) {
                    this.runLater(retryMilliseconds, () => this.handOver());
                }
                else {
                    this.leave();
                }
            }),
        );
    }

    private leave(): void {
        this.context.platform.deregisterAgent(
            this.identity.incarnation,
            this.ofThisLife(() => {
                if (this.core?.isDrained() === true) {
                    this.context.recordStopEnd(this.name);
                    this.crash();
                    return;
                }
                // Work came while the platform was written to, so the handover is written again later.
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
        this.context.platform.readManifest(this.ofThisLife(reply => {
            if (reply?.value !== undefined) {
                this.accept({ type: "manifestAccepted", manifest: reply.value });
            }
        }));
    }

    private readEntries(): void {
        this.context.platform.readRegistry(this.ofThisLife(reply => {
            if (reply !== undefined) {
                this.accept({ type: "entriesRead", entries: reply.value.entries });
            }
        }));
    }
}
