/**
 * Measures the traffic of a configuration change and the time until it is in force everywhere.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createCapacityManifest } from "../capacityManifest.js";
import { CapacityRig } from "../capacityRig.js";
import { subtractEntryCounts } from "../entryProgram.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";
import { subtractTraffic, type Traffic } from "../trafficRelay.js";

const sizes = [[20, 1, 3], [20, 4, 78], [80, 2, 26], [300, 1, 78], [300, 4, 3]] as const;
const slots = 8;
const zoneCount = 7;
const windowMilliseconds = 7_000;
const millisecondsPerSecond = 1_000;

/** One change in an idle deployment, with manifests of 3, 26 and 78 teams. */
export class ConfigurationSpread extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "configuration-spread";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "messages, bytes and propagation time of a configuration change";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rows: MeasuredRow[] = [];
        for (const [agents, entries, teams] of sizes) {
            rows.push(await measure(agents, entries, teams));
        }
        return {
            rows,
            fits: [
                fitColumn(rows, "extra platform reads", "1", ["agents", "entries"]),
                fitColumn(rows, "bytes/process", "bytes", ["teams"]),
                fitColumn(rows, "peer messages", "1", ["agents", "entries"]),
            ],
        };
    }
}

async function measure(agents: number, entries: number, teams: number): Promise<MeasuredRow> {
    const rig = await CapacityRig.start({ entries, hostedAgents: agents, slots, teams, availabilityZones: zoneCount });
    const idle = await measureWindow(rig, () => Promise.resolve());
    let seconds = 0;
    const change = await measureWindow(rig, async () => {
        await rig.applyManifest(createCapacityManifest(teams + 1, zoneCount), 1);
        const acceptedAt = performance.now();
        await rig.waitForVersion(2);
        seconds = (performance.now() - acceptedAt) / millisecondsPerSecond;
    });
    const operator = rig.operatorRelay.counts;
    await rig.stop();
    const reads = change.agent.reads - idle.agent.reads + change.entry.reads - idle.entry.reads;
    const bytes = change.agent.responseBytes - idle.agent.responseBytes;
    return {
        agents,
        entries,
        teams,
        "seconds": seconds,
        "extra platform reads": reads,
        "bytes/process": bytes / agents,
        "peer messages": change.messages - idle.messages,
        "operator requests": operator.reads + operator.listings + operator.writes,
    };
}

interface WindowCounts {
    readonly agent: Traffic;
    readonly entry: Traffic;
    readonly messages: number;
}

/** Counts the traffic in a time window during which an action runs. */
async function measureWindow(rig: CapacityRig, action: () => Promise<void>): Promise<WindowCounts> {
    const before = { agent: rig.agentRelay.counts, entry: rig.entryRelay.counts, reading: await rig.readEntryCounts() };
    await Promise.all([sleep(windowMilliseconds), action()]);
    const spent = subtractEntryCounts(await rig.readEntryCounts(), before.reading);
    return {
        agent: subtractTraffic(rig.agentRelay.counts, before.agent),
        entry: subtractTraffic(rig.entryRelay.counts, before.entry),
        messages: spent.messagesSent + spent.messagesReceived,
    };
}
