/**
 * What entry processes spend on tasks and jobs, by the numbers of agents and entries.
 */
import { runSteadyLoad } from "../callerLoad.js";
import { createCapacityJob } from "../capacityManifest.js";
import { CapacityRig } from "../capacityRig.js";
import { subtractReading } from "../entryProgram.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";

const microsecondsPerSecond = 1_000_000;
const millisecondsPerSecond = 1_000;
const megabyte = 1024 * 1024;
const slots = 8;
const taskMilliseconds = 100;

/** One measured size. */
interface LoadSize {
    readonly agents: number;
    readonly entries: number;
    readonly jobsPerSecond: number;
    readonly tasksPerJob: number;
    readonly durationMilliseconds: number;
}

/** Agents and entries. */
const deploymentSizes = [[20, 1], [20, 4], [80, 2], [300, 1], [300, 4]] as const;

/** Entries under one load, with 20, 80 and 300 agents and 1, 2 and 4 entries. */
export class EntryLoad extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "entry-load";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "entries: processor time, messages and bytes a start, by agents and entries";

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

/** One entry and 80 agents, with jobs of different sizes at the same rate of starts. */
export class EntryJobs extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "entry-jobs";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "one entry: processor time by jobs and starts";

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
    // The compiler of the engine needs a run to settle.
    await runSteadyLoad(rig.entries, { ...size, job });
    const rest = await measureRest(rig);
    const before = await rig.read();
    const startedAt = performance.now();
    const outcome = await runSteadyLoad(rig.entries, { ...size, job });
    const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
    const spent = subtractReading(await rig.read(), before);
    const loadSeconds = spent.processorSeconds - rest.processorSeconds * seconds;
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
        "idle core %/entry": 100 * rest.processorSeconds / size.entries,
        "idle MB/entry": rest.megabytes / size.entries,
    };
}

/** Processor seconds a second, and memory, of all entries before the load. */
async function measureRest(rig: CapacityRig): Promise<{ processorSeconds: number; megabytes: number }> {
    const restMilliseconds = 3_000;
    const before = await rig.read();
    await new Promise(resolve => {
        setTimeout(resolve, restMilliseconds);
    });
    const after = await rig.read();
    return {
        processorSeconds: (after.processorSeconds - before.processorSeconds) * millisecondsPerSecond / restMilliseconds,
        megabytes: after.residentBytes / megabyte,
    };
}
