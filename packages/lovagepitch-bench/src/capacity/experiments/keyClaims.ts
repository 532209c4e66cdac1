/**
 * Measures the platform writes for jobs under callers' keys; an entry batches the claims of several jobs in one write.
 */
import { createCapacityJob } from "../capacityManifest.js";
import { CapacityRig } from "../capacityRig.js";
import type { CallerAnswer } from "../entryProgram.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";
import { subtractTraffic } from "../trafficRelay.js";

const jobRates = [25, 100, 300];
const entryCounts = [1, 2, 4];
const agents = 20;
const slots = 16;
const taskMilliseconds = 10;
const writeLatencyMilliseconds = 6;
const measureMilliseconds = 4_000;
const millisecondsPerSecond = 1_000;

/** Claims and writes per second at a table whose writes take 6 ms. */
export class KeyClaims extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "key-claims";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "platform writes for callers' keys, by job rate and entries";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rows: MeasuredRow[] = [];
        for (const entries of entryCounts) {
            const rig = await CapacityRig.start({ entries, hostedAgents: agents, slots });
            rig.platform.faults.set({ slowMilliseconds: writeLatencyMilliseconds });
            for (const rate of jobRates) {
                rows.push(await measure(rig, rate));
            }
            await rig.stop();
        }
        return { rows, fits: [fitColumn(rows, "writes/s", "1/s", ["jobs/s", "entries"])] };
    }
}

async function measure(rig: CapacityRig, rate: number): Promise<MeasuredRow> {
    const job = createCapacityJob(1, taskMilliseconds);
    const before = rig.entryRelay.counts;
    const startedAt = performance.now();
    const count = rate * measureMilliseconds / millisecondsPerSecond;
    const answers: Promise<CallerAnswer>[] = [];
    for (let index = 0; index < count; index += 1) {
        const pause = startedAt + index * millisecondsPerSecond / rate - performance.now();
        if (pause > 0) {
            await new Promise(resolve => {
                setTimeout(resolve, pause);
            });
        }
        answers.push(rig.entries[index % rig.entries.length]!.submitWithKey(`${rate}-${index}`, job));
    }
    const settled = await Promise.all(answers);
    const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
    const spent = subtractTraffic(rig.entryRelay.counts, before);
    return {
        "entries": rig.entries.length,
        "jobs/s": count / seconds,
        "complete": settled.filter(({ answer }) => answer.state === "complete").length / count,
        "writes/s": spent.writes / seconds,
        "jobs/write": count / Math.max(1, spent.writes),
    };
}
