/**
 * Measures the processor time and traffic of an agent process per task start.
 */
import { createCapacityJob } from "../capacityManifest.js";
import { CapacityRig } from "../capacityRig.js";
import { subtractEntryCounts } from "../entryProgram.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";
import type { ProgramProcess } from "../programProcess.js";
import { runSteadyLoad } from "../runSteadyLoad.js";

const startsPerSecondSteps = [8, 32, 64, 128];
const slots = 64;
const taskMilliseconds = 100;
const warmUpMilliseconds = 3_000;
const measureMilliseconds = 12_000;
const millisecondsPerSecond = 1_000;
const bytesPerMegabyte = 1024 * 1024;

/** One agent process at four start rates, with jobs of one task. */
export class AgentLoad extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "agent-load";
    /** {@inheritDoc Experiment.description} */
    public override readonly description =
        "one agent process: processor time, control messages and bytes by start rate";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rig = await CapacityRig.start({ entries: 1, hostedAgents: 0, slots });
        const agent = await rig.startAgentProcess(0, slots);
        await rig.waitForAgents(1);
        const rows: MeasuredRow[] = [];
        for (const rate of startsPerSecondSteps) {
            await runLoad(rig, rate, warmUpMilliseconds);
            rows.push(await measure(rig, agent, rate));
        }
        await rig.stop();
        return {
            rows,
            fits: [
                fitColumn(rows, "core %", "%", ["starts/s"]),
                fitColumn(rows, "peer bytes/s", "bytes/s", ["starts/s"]),
                fitColumn(rows, "messages/s", "1/s", ["starts/s"]),
                fitColumn(rows, "resident MB", "MB", ["starts/s"]),
            ],
        };
    }
}

async function runLoad(rig: CapacityRig, rate: number, durationMilliseconds: number): Promise<void> {
    const job = createCapacityJob(1, taskMilliseconds);
    await runSteadyLoad(rig.entries, { jobsPerSecond: rate, durationMilliseconds, job });
}

async function measure(rig: CapacityRig, agent: ProgramProcess, rate: number): Promise<MeasuredRow> {
    const before = await rig.readEntryCounts();
    const beforeSeconds = agent.usage.processorSeconds;
    const startedAt = performance.now();
    await runLoad(rig, rate, measureMilliseconds);
    const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
    const usage = agent.usage;
    const spent = subtractEntryCounts(await rig.readEntryCounts(), before);
    return {
        "starts/s": spent.starts / seconds,
        "core %": 100 * (usage.processorSeconds - beforeSeconds) / seconds,
        "peer bytes/s": (spent.bytesSent + spent.bytesReceived) / seconds,
        "messages/s": (spent.messagesSent + spent.messagesReceived) / seconds,
        "resident MB": usage.residentBytes / bytesPerMegabyte,
    };
}
