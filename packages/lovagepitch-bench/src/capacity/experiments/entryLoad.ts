/**
 * Measures the processor time and traffic of entry processes per task and job, by numbers of agents and entries.
 */
import { createCapacityJob } from "../capacityManifest.js";
import { CapacityRig } from "../capacityRig.js";
import { subtractEntryCounts } from "../entryProgram.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";
import { runSteadyLoad } from "../runSteadyLoad.js";

const microsecondsPerSecond = 1_000_000;
const millisecondsPerSecond = 1_000;
const bytesPerMegabyte = 1024 * 1024;
const slots = 8;
const taskMilliseconds = 100;

/** Size of a deployment and its load. */
interface LoadSize {
    readonly agents: number;
    readonly entries: number;
    readonly jobsPerSecond: number;
    readonly tasksPerJob: number;
    readonly durationMilliseconds: number;
}

/** Numbers of agents and of entries. */
const deploymentSizes = [[20, 1], [20, 4], [80, 2], [300, 1], [300, 4]] as const;

/** Entries at one load, with 20, 80 and 300 agents and 1, 2 and 4 entries. */
export class EntryLoad extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "entry-load";
    /** {@inheritDoc Experiment.description} */
    public override readonly description =
        "entries: processor time, messages and bytes per start, by agents and entries";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rows: MeasuredRow[] = [];
        for (const [agents, entries] of deploymentSizes) {
            const size = { agents, entries, jobsPerSecond: 40, tasksPerJob: 4, durationMilliseconds: 4_000 };
            const rig = await CapacityRig.start({ entries, hostedAgents: agents, slots });
            rows.push(await measure(rig, size));
            await rig.stop();
        }
        const variables = ["agents", "entries"];
        return {
            rows,
            fits: [
                fitColumn(rows, "µs/start", "µs", variables),
                fitColumn(rows, "messages/start", "messages", variables),
                fitColumn(rows, "bytes/start", "bytes", variables),
                fitColumn(rows, "idle core %/entry", "%", variables),
                fitColumn(rows, "idle MB/entry", "MB", variables),
            ],
        };
    }
}

/** One entry and 80 agents, with jobs of different sizes at similar start rates. */
export class EntryJobs extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "entry-jobs";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "one entry: processor time by rates of jobs and starts";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const agents = 80;
        const rig = await CapacityRig.start({ entries: 1, hostedAgents: agents, slots });
        const shapes = [[1, 80], [1, 160], [4, 20], [4, 60], [32, 2], [32, 7], [200, 1], [400, 0.5]] as const;
        const rows: MeasuredRow[] = [];
        for (const [tasksPerJob, jobsPerSecond] of shapes) {
            const durationMilliseconds = 4_000;
            rows.push(await measure(rig, { agents, entries: 1, jobsPerSecond, tasksPerJob, durationMilliseconds }));
        }
        await rig.stop();
        const variables = ["jobs/s", "starts/s"];
        return {
            rows,
            fits: [
                fitColumn(rows, "core ms/s", "ms/s", variables),
                fitColumn(rows, "messages/s", "1/s", variables),
                fitColumn(rows, "bytes/s", "bytes/s", variables),
            ],
        };
    }
}

async function measure(rig: CapacityRig, size: LoadSize): Promise<MeasuredRow> {
    const job = createCapacityJob(size.tasksPerJob, taskMilliseconds);
    // Warm-up run, so that the code is compiled before the measurement.
    await runSteadyLoad(rig.entries, { ...size, job });
    const idle = await measureIdle(rig);
    const before = await rig.readEntryCounts();
    const startedAt = performance.now();
    const outcome = await runSteadyLoad(rig.entries, { ...size, job });
    const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
    const spent = subtractEntryCounts(await rig.readEntryCounts(), before);
    const loadSeconds = spent.processorSeconds - idle.processorSeconds * seconds;
    const messages = spent.messagesSent + spent.messagesReceived;
    const bytes = spent.bytesSent + spent.bytesReceived;
    return {
        "agents": size.agents,
        "entries": size.entries,
        "tasks/job": size.tasksPerJob,
        "complete": outcome.complete / outcome.submitted,
        "jobs/s": outcome.submitted / seconds,
        "starts/s": spent.starts / seconds,
        "core ms/s": millisecondsPerSecond * loadSeconds / seconds,
        "µs/start": microsecondsPerSecond * loadSeconds / spent.starts,
        "messages/s": messages / seconds,
        "bytes/s": bytes / seconds,
        "messages/start": messages / spent.starts,
        "bytes/start": bytes / spent.starts,
        "idle core %/entry": 100 * idle.processorSeconds / size.entries,
        "idle MB/entry": idle.megabytes / size.entries,
    };
}

/** Measures processor seconds per second and memory of all entries without load. */
async function measureIdle(rig: CapacityRig): Promise<{ processorSeconds: number; megabytes: number }> {
    const idleMilliseconds = 3_000;
    const before = await rig.readEntryCounts();
    await new Promise(resolve => {
        setTimeout(resolve, idleMilliseconds);
    });
    const after = await rig.readEntryCounts();
    return {
        processorSeconds: (after.processorSeconds - before.processorSeconds) * millisecondsPerSecond / idleMilliseconds,
        megabytes: after.residentBytes / bytesPerMegabyte,
    };
}
