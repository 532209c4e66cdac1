/**
 * Measures the periodic requests of entries and agents to the platform.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { CapacityRig } from "../capacityRig.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";
import { subtractTraffic } from "../trafficRelay.js";

const sizes = [[20, 1], [20, 4], [80, 2], [300, 1], [300, 4]] as const;
const slots = 8;
const measureMilliseconds = 12_000;
const millisecondsPerSecond = 1_000;

/** Load of the platform in an idle deployment. */
export class PlatformRequests extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "platform-requests";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "requests and bytes at the platform without load, by agents and entries";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rows: MeasuredRow[] = [];
        for (const [agents, entries] of sizes) {
            rows.push(await measure(agents, entries));
        }
        const variables = ["agents", "entries"];
        return {
            rows,
            fits: [
                fitColumn(rows, "agent reads/s", "1/s", variables),
                fitColumn(rows, "entry reads/s", "1/s", variables),
                fitColumn(rows, "listings/s", "1/s", variables),
                fitColumn(rows, "bytes/listing", "bytes", ["agents", "entries"]),
            ],
        };
    }
}

async function measure(agents: number, entries: number): Promise<MeasuredRow> {
    const rig = await CapacityRig.start({ entries, hostedAgents: agents, slots });
    const before = { entry: rig.entryRelay.counts, agent: rig.agentRelay.counts };
    await sleep(measureMilliseconds);
    const entry = subtractTraffic(rig.entryRelay.counts, before.entry);
    const agent = subtractTraffic(rig.agentRelay.counts, before.agent);
    const seconds = measureMilliseconds / millisecondsPerSecond;
    await rig.stop();
    return {
        agents,
        entries,
        "agent reads/s": agent.reads / seconds,
        "agent writes/s": agent.writes / seconds,
        "entry reads/s": entry.reads / seconds,
        "listings/s": entry.listings / seconds,
        "entry writes/s": entry.writes / seconds,
        "bytes/listing": entry.responseBytes / Math.max(1, entry.listings),
        "listing kB/s/entry": entry.responseBytes / seconds / entries / millisecondsPerSecond,
        "agent bytes/s/agent": (agent.requestBytes + agent.responseBytes) / seconds / agents,
    };
}
