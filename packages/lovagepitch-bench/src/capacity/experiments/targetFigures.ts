/**
 * The figures of the large deployment, worked out from the slopes.
 */
import { computePlatformRates, computeTaskBudget, countNeededEntries } from "../capacityArithmetic.js";
import { capacitySlopes } from "../capacitySlopes.js";
import { Experiment, type ExperimentResult, type MeasuredRow } from "../experimentResult.js";
import { targetDeployment } from "../targetDeployment.js";

const tasksPerJob = 10;
/** Share of a core that an entry uses at the peak, so that a lost zone's load finds room. */
const entryCoreShare = 0.5;
/** Mean time of a job at its entry, in seconds. */
const jobSeconds = 1;
const microsecondsPerSecond = 1_000_000;

/** Arithmetic only; nothing is started. */
export class TargetFigures extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "target";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "figures of the large deployment, worked out from the slopes";

    /** {@inheritDoc Experiment.run} */
    public override run(): Promise<ExperimentResult> {
        const entries = countNeededEntries(
            targetDeployment.startsPerSecond,
            capacitySlopes.entryMicrosecondsPerStart,
            entryCoreShare,
        );
        const rows = [...listNodes(entries), ...listPlatform(entries), ...listSweep(entries)];
        return Promise.resolve({ rows, fits: [] });
    }
}

function listNodes(entries: number): readonly MeasuredRow[] {
    const budget = computeTaskBudget(targetDeployment);
    const perAgent = budget.startsPerSecond;
    const perEntry = targetDeployment.startsPerSecond / entries;
    return [
        { quantity: "starts/s at an agent", value: perAgent },
        { quantity: "budget of a start, µs at the agent", value: budget.microseconds },
        { quantity: "budget of a start, bytes", value: budget.bytes },
        {
            quantity: "agent, core %",
            value: 100 * perAgent * capacitySlopes.agentMicrosecondsPerStart / microsecondsPerSecond,
        },
        { quantity: "agent, bytes/s", value: perAgent * capacitySlopes.peerBytesPerStart },
        { quantity: "entries", value: entries },
        { quantity: "starts/s at an entry", value: perEntry },
        {
            quantity: "entry, core %",
            value: 100 * perEntry * capacitySlopes.entryMicrosecondsPerStart / microsecondsPerSecond,
        },
        { quantity: "entry, messages/s", value: perEntry * capacitySlopes.messagesPerStart },
        { quantity: "entry, bytes/s", value: perEntry * capacitySlopes.peerBytesPerStart },
    ];
}

function listPlatform(entries: number): readonly MeasuredRow[] {
    const rates = computePlatformRates({
        agents: targetDeployment.agents,
        entries,
        agentManifestPollMilliseconds: 4_000,
        agentRenewMilliseconds: 60_000,
        entryManifestPollMilliseconds: 2_000,
        entryRenewMilliseconds: 10_000,
        registryPollMilliseconds: 2_000,
        listingBytesPerAgent: capacitySlopes.listingBytesPerAgent,
    });
    return [
        { quantity: "platform, reads/s", value: rates.reads },
        { quantity: "platform, writes/s", value: rates.writes },
        { quantity: "platform, listing bytes/s", value: rates.listingBytes },
        { quantity: "entry, listing bytes/s", value: rates.listingBytes / entries },
    ];
}

function listSweep(entries: number): readonly MeasuredRow[] {
    const submissions = targetDeployment.startsPerSecond / entries / tasksPerJob * jobSeconds;
    const pairs = submissions * targetDeployment.agents;
    const survivors = entries - 1;
    return [
        { quantity: "live submissions of a dead entry", value: submissions },
        { quantity: "sweep, messages", value: pairs * capacitySlopes.sweepMessages },
        { quantity: "sweep, bytes", value: pairs * capacitySlopes.sweepBytes },
        { quantity: "sweep, bytes at an agent", value: submissions * capacitySlopes.sweepBytes },
        {
            quantity: "sweep, processor s at a surviving entry",
            value: pairs * capacitySlopes.sweepMicroseconds / microsecondsPerSecond / survivors,
        },
    ];
}
