/**
 * Runs an entry's core without links or HTTP, to measure the size of its tables. The clock does not advance, so that no
 * deadline passes and no drain rate is estimated.
 */
import { EntryCore } from "@lovagepitch/entry/core/entryCore";
import type { EntryInput } from "@lovagepitch/entry/core/entryInput";
import type { EntryOutput } from "@lovagepitch/entry/core/entryOutput";
import type { PeerIdentity } from "@lovagepitch/types/identity";
import type { JobRequest, JsonValue } from "@lovagepitch/types/job";
import type { AgentLoad, PeerMessage, StartTasks } from "@lovagepitch/types/peerMessage";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { capacityService, createCapacityManifest } from "./capacityManifest.js";

const startMilliseconds = 1_800_000_000_000;
const windowMilliseconds = 600_000;
const effectivelyUnlimited = 1_000_000_000;
const hostsPerNetwork = 250;
const taskOutput: JsonValue = { accepted: true, balance: 12_345.67, reference: "entry-1" };

/** Feeds inputs to the core of one entry. */
export class EntryCoreDriver {
    private readonly clock = new ManualClock(startMilliseconds);
    private readonly core = new EntryCore({
        identity: { address: "10.1.0.1:7000", incarnation: "0123456789abcdef" },
        settings: {
            availabilityZone: "zone-1",
            maximumAnswerBytes: effectivelyUnlimited,
            maximumWaitingTasks: effectivelyUnlimited,
            resubmissionWindowMilliseconds: windowMilliseconds,
            policy: { startOrder: "oldest-first", bids: 4, maximumEjectedShare: 0.3 },
        },
        codec: new SubmissionCodec("a key for measurements of at least thirty-two characters"),
        clock: this.clock,
        random: new RandomSource(1),
    });
    private requestCount = 0;

    /** Creates a core with a configuration and an empty registry. */
    public constructor() {
        const manifest = createCapacityManifest(1, 1);
        this.processInput({
            type: "manifestAccepted",
            manifest: { version: 1, manifest, digest: "digest", appliedBy: "capacity" },
        });
        this.processInput({ type: "registryRead", registry: { version: 0, agents: [], entries: [] } });
    }

    /**
     * Announces agents to the core.
     *
     * @param first - index of the first agent
     * @param count - number of agents
     * @param load - slots and running tasks of each agent
     */
    public announceAgents(first: number, count: number, load: AgentLoad): void {
        for (let position = first; position < first + count; position += 1) {
            this.receive(nameAgent(position), [{
                type: "announceAgent",
                worker: `worker-${position}`,
                rack: `rack-${position}`,
                availabilityZone: "zone-1",
                cores: 16,
                memoryMegabytes: 32_768,
                registrationNumber: position + 1,
                services: [capacityService],
                load,
            }]);
        }
    }

    /**
     * Submits a job under a new id.
     *
     * @param job - job to submit
     * @returns the `startTasks` messages that the core sent for the job
     * @throws Error when the job was refused
     */
    public submit(job: JobRequest): readonly StartTasks[] {
        const issued = this.processInput({ type: "issue", request: this.createRequestId(), count: 1 });
        const [submission] = issued.flatMap(one =>
            one.type === "respond" && one.response.kind === "issued" ? one.response.submissions : []
        );
        const outputs = this.processInput({
            type: "submit",
            request: this.createRequestId(),
            submission: submission!,
            job,
        });
        const problem = outputs.find(one => one.type === "respond" && one.response.kind === "problem");
        if (problem !== undefined) {
            throw new Error(`the job was refused: ${JSON.stringify(problem)}`);
        }
        return outputs.flatMap(one => one.type === "send" && one.message.type === "startTasks" ? [one.message] : []);
    }

    /**
     * Reports the success of started tasks from the first agent.
     *
     * @param starts - the `startTasks` messages of the tasks
     * @param load - slots and running tasks of the agent
     */
    public reportSuccess(starts: readonly StartTasks[], load: AgentLoad): void {
        for (const { submission, tasks } of starts) {
            const reports = tasks.map(({ index }) => ({
                index,
                report: { state: "succeeded" as const, output: taskOutput },
            }));
            this.receive(nameAgent(0), [{ type: "reportTasks", submission, reports, load, offeredSlots: 0 }]);
        }
    }

    /** Number of tasks that wait for a slot. */
    public get waitingTasks(): number {
        return this.core.getStatus().waitingTasks;
    }

    private receive(sender: PeerIdentity, messages: readonly PeerMessage[]): void {
        this.processInput({ type: "peerBatch", batch: { sender, role: "agent", configurationVersion: 1, messages } });
    }

    private processInput(input: EntryInput): readonly EntryOutput[] {
        this.core.accept(input);
        return this.core.tick();
    }

    private createRequestId(): number {
        this.requestCount += 1;
        return this.requestCount;
    }
}

function nameAgent(position: number): PeerIdentity {
    const host = position % hostsPerNetwork + 1;
    const address = `10.2.${Math.floor(position / hostsPerNetwork)}.${host}:7000`;
    return { address, incarnation: (position + 1).toString(16).padStart(16, "0") };
}
