/**
 * An entry's core without links or HTTP, for measurements of its tables. Its clock stands still, so that
 * no deadline and no estimate of the drain rate gets in the way.
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
const enough = 1_000_000_000;
const hostsPerNetwork = 250;
const output: JsonValue = { accepted: true, balance: 12_345.67, reference: "entry-1" };

/** Drives one entry's core. */
export class EntryCoreDriver {
    private readonly clock = new ManualClock(startMilliseconds);
    private readonly core = new EntryCore({
        identity: { address: "10.1.0.1:7000", incarnation: "0123456789abcdef" },
        settings: {
            availabilityZone: "zone-1",
            maximumAnswerBytes: enough,
            maximumWaitingTasks: enough,
            resubmissionWindowMilliseconds: windowMilliseconds,
            policy: { startOrder: "oldest-first", bids: 4, maximumEjectedShare: 0.3 },
        },
        codec: new SubmissionCodec("a key for measurements of at least thirty-two characters"),
        clock: this.clock,
        random: new RandomSource(1),
    });
    private requests = 0;

    /** Makes a core with a configuration and a registry. */
    public constructor() {
        const manifest = createCapacityManifest(1, 1);
        this.run({
            type: "manifestAccepted",
            manifest: { version: 1, manifest, digest: "digest", appliedBy: "capacity" },
        });
        this.run({ type: "registryRead", registry: { version: 0, agents: [], entries: [] } });
    }

    /**
     * Announces agents.
     *
     * @param first - position of the first
     * @param count - how many
     * @param load - how full each is
     */
    public announce(first: number, count: number, load: AgentLoad): void {
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
     * @param job - the job
     * @returns the starts that went out with it
     * @throws Error when the job was refused
     */
    public submit(job: JobRequest): readonly StartTasks[] {
        const issued = this.run({ type: "issue", request: this.nextRequest(), count: 1 });
        const [submission] = issued.flatMap(one =>
            one.type === "respond" && one.response.kind === "issued" ? one.response.submissions : []
        );
        const outputs = this.run({ type: "submit", request: this.nextRequest(), submission: submission!, job });
        const problem = outputs.find(one => one.type === "respond" && one.response.kind === "problem");
        if (problem !== undefined) {
            throw new Error(`the job was refused: ${JSON.stringify(problem)}`);
        }
        return outputs.flatMap(one => one.type === "send" && one.message.type === "startTasks" ? [one.message] : []);
    }

    /**
     * Reports that started tasks have succeeded at the first agent.
     *
     * @param starts - the starts
     * @param load - how full the agent is
     */
    public succeed(starts: readonly StartTasks[], load: AgentLoad): void {
        for (const { submission, tasks } of starts) {
            const reports = tasks.map(({ index }) => ({ index, report: { state: "succeeded" as const, output } }));
            this.receive(nameAgent(0), [{ type: "reportTasks", submission, reports, load, offeredSlots: 0 }]);
        }
    }

    /** Tasks that wait for a slot. */
    public get waitingTasks(): number {
        return this.core.getStatus().waitingTasks;
    }

    private receive(sender: PeerIdentity, messages: readonly PeerMessage[]): void {
        this.run({ type: "peerBatch", batch: { sender, role: "agent", configurationVersion: 1, messages } });
    }

    private run(input: EntryInput): readonly EntryOutput[] {
        this.core.accept(input);
        return this.core.tick();
    }

    private nextRequest(): number {
        this.requests += 1;
        return this.requests;
    }
}

function nameAgent(position: number): PeerIdentity {
    const host = position % hostsPerNetwork + 1;
    const address = `10.2.${Math.floor(position / hostsPerNetwork)}.${host}:7000`;
    return { address, incarnation: (position + 1).toString(16).padStart(16, "0") };
}
