/**
 * A scripted agent with real peer links: it finishes its tasks immediately, or when they are released.
 */
import { PeerLinks } from "@lovagepitch/links/peerLinks";
import type { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type {
    AgentLoad,
    OutgoingMessage,
    PeerBatch,
    PeerMessage,
    StartTasks,
    TaskReportState,
} from "@lovagepitch/types/peerMessage";
import { SystemClock } from "@lovagepitch/utils/clock";
import { createIncarnation } from "@lovagepitch/utils/incarnation";

const slots = 8;
const worker = { worker: "w-1", rack: "r-1", availabilityZone: "ikeja", cores: 16, memoryMegabytes: 32_768 };

/** A scripted agent. */
export class ScriptedAgent {
    /** Number of starts by submission id and task index. */
    public readonly starts = new Map<string, number>();
    /** True when tasks run until they are released. */
    public isHolding = false;

    private readonly incarnation = createIncarnation();
    private readonly clock = new SystemClock();
    private readonly links: PeerLinks;
    private readonly states = new Map<SubmissionKey, Map<number, TaskReportState>>();
    private readonly owners = new Map<SubmissionKey, string>();
    private outgoing: OutgoingMessage[] = [];
    private registrationNumber = 0;

    /** Creates the agent's links; `start` connects them. */
    public constructor() {
        this.links = new PeerLinks({
            identity: { address: "127.0.0.1:0", incarnation: this.incarnation },
            role: "agent",
            address: "127.0.0.1",
            port: 0,
            clock: this.clock,
            onBatch: batch => this.receive(batch),
            onPeerUnreachable: () => undefined,
            getConfigurationVersion: () => 1,
        });
    }

    /** Listens and registers. */
    public async start(registry: RegistryRepository): Promise<void> {
        (await this.links.listen()).unwrap();
        const registered = await registry.registerAgent({
            ...worker,
            ...this.links.identity,
            state: "serving",
            renewedAtMilliseconds: this.clock.nowMilliseconds(),
        });
        this.registrationNumber = registered.unwrap();
    }

    /** Completes every running task. */
    public release(): void {
        this.isHolding = false;
        for (const [submission, states] of this.states) {
            for (const [index, state] of states) {
                if (state.state === "running") {
                    states.set(index, { state: "succeeded", output: { doubled: index * 2 } });
                }
            }
            this.report(submission, String(this.owners.get(submission)));
        }
        this.tick();
    }

    /** Closes the peer links. */
    public close(): Promise<void> {
        return this.links.close();
    }

    private receive(batch: PeerBatch): void {
        batch.messages.forEach(message => this.handle(batch.sender.address, message));
        setImmediate(() => this.tick());
    }

    private handle(sender: string, message: PeerMessage): void {
        switch (message.type) {
            case "ping":
                this.send(sender, {
                    type: "announceAgent",
                    ...worker,
                    registrationNumber: this.registrationNumber,
                    services: ["s"],
                    load: this.createLoad(),
                });
                return;
            case "startTasks":
                this.startTasks(sender, message);
                return;
            case "queryTasks":
                this.report(message.submission, sender);
                return;
            case "sealSubmissions":
                for (const submission of message.submissions) {
                    const reports = this.createReports(submission);
                    this.send(sender, { type: "reportSeal", submission, reports, incomplete: false });
                }
                return;
            default:
                return;
        }
    }

    private startTasks(sender: string, { submission, tasks }: StartTasks): void {
        const states = this.states.get(submission) ?? new Map<number, TaskReportState>();
        this.states.set(submission, states);
        this.owners.set(submission, sender);
        for (const { index } of tasks.filter(task => !states.has(task.index))) {
            const name = `${submission} ${index}`;
            this.starts.set(name, (this.starts.get(name) ?? 0) + 1);
            states.set(index, this.isHolding ? { state: "running" } : this.succeed(index));
        }
        this.report(submission, sender);
    }

    private succeed(index: number): TaskReportState {
        return { state: "succeeded", output: { doubled: index * 2 } };
    }

    private report(submission: SubmissionKey, destination: string): void {
        const reports = this.createReports(submission);
        this.send(destination, { type: "reportTasks", submission, reports, load: this.createLoad(), offeredSlots: 0 });
    }

    private createReports(submission: SubmissionKey): { readonly index: number; readonly report: TaskReportState }[] {
        return [...this.states.get(submission) ?? []].map(([index, report]) => ({ index, report }));
    }

    private createLoad(): AgentLoad {
        const states = [...this.states.values()].flatMap(tasks => [...tasks.values()]);
        const runningTasks = states.filter(state => state.state === "running").length;
        return { slots, runningTasks, standingByTasks: 0, standByLimit: 2, suspect: false, leaving: false };
    }

    private send(destination: string, message: PeerMessage): void {
        this.outgoing.push({ destination, message });
    }

    private tick(): void {
        const { outgoing } = this;
        this.outgoing = [];
        this.links.send(outgoing);
    }
}
