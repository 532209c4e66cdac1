/**
 * Measures memory, processor time and traffic of idle agent processes.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { CapacityRig } from "../capacityRig.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";
import type { ProgramProcess } from "../programProcess.js";
import { subtractTraffic } from "../trafficRelay.js";

const entryCounts = [1, 2, 4];
const agents = 4;
const slots = 8;
/** Agents trigger a garbage collection five seconds after their start. */
const settleMilliseconds = 7_000;
const measureMilliseconds = 20_000;
const millisecondsPerSecond = 1_000;
const bytesPerMegabyte = 1024 * 1024;

/** Idle agents with 1, 2 and 4 entries. */
export class IdleAgents extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "idle-agents";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "idle agent processes: memory, processor time and control bytes";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rows: MeasuredRow[] = [];
        for (const entries of entryCounts) {
            rows.push(await measure(entries));
        }
        return {
            rows,
            fits: [
                fitColumn(rows, "resident MB", "MB", ["entries"]),
                fitColumn(rows, "core %", "%", ["entries"]),
                fitColumn(rows, "peer bytes/s", "bytes/s", ["entries"]),
                fitColumn(rows, "platform bytes/s", "bytes/s", ["entries"]),
            ],
        };
    }
}

async function measure(entries: number): Promise<MeasuredRow> {
    const rig = await CapacityRig.start({ entries, hostedAgents: 0, slots });
    const positions = Array.from({ length: agents }, (_unused, position) => position);
    const processes = await Promise.all(positions.map(position => rig.startAgentProcess(position, slots)));
    await rig.waitForAgents(agents);
    await sleep(settleMilliseconds);
    const before = {
        peer: await rig.readEntryCounts(),
        platform: rig.agentRelay.counts,
        seconds: sumProcessorSeconds(processes),
    };
    await sleep(measureMilliseconds);
    const peer = await rig.readEntryCounts();
    const platform = subtractTraffic(rig.agentRelay.counts, before.platform);
    const seconds = measureMilliseconds / millisecondsPerSecond;
    const agentSeconds = agents * seconds;
    const row = {
        "entries": entries,
        "resident MB": computeMean(processes.map(one => one.usage.residentBytes / bytesPerMegabyte)),
        "private MB": computeMean(processes.map(one => one.privateBytes / bytesPerMegabyte)),
        "core %": 100 * (sumProcessorSeconds(processes) - before.seconds) / agentSeconds,
        "peer bytes/s": (peer.bytesSent + peer.bytesReceived - before.peer.bytesSent - before.peer.bytesReceived)
            / agentSeconds,
        "platform requests/s": (platform.reads + platform.listings + platform.writes) / agentSeconds,
        "platform bytes/s": (platform.requestBytes + platform.responseBytes) / agentSeconds,
    };
    await rig.stop();
    return row;
}

function sumProcessorSeconds(processes: readonly ProgramProcess[]): number {
    return processes.reduce((sum, one) => sum + one.usage.processorSeconds, 0);
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
