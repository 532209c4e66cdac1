/**
 * Estimates the load of the large deployment from the measured costs per unit.
 */
import { computePlatformRates, computeTaskBudget, countRequiredEntries } from "../capacityArithmetic.js";
import { capacitySlopes } from "../capacitySlopes.js";
import { Experiment, type ExperimentResult, type MeasuredRow } from "../experimentResult.js";
import { targetDeployment } from "../targetDeployment.js";

const tasksPerJob = 10;
/** Maximum utilisation of a core by an entry at peak load, so that it can absorb the load of a failed zone. */
const maximumEntryCoreShare = 0.5;
/** Mean time that an entry holds a job, in seconds. */
const meanJobSeconds = 1;
const microsecondsPerSecond = 1_000_000;

/** Arithmetic only; starts no processes. */
export class TargetFigures extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "target";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "estimates for the large deployment from the measured costs per unit";

    /** {@inheritDoc Experiment.run} */
    public override run(): Promise<ExperimentResult> {
        const entries = countRequiredEntries(
            targetDeployment.startsPerSecond,
            capacitySlopes.entryMicrosecondsPerStart,
            maximumEntryCoreShare,
        );
        const rows = [...createNodeRows(entries), ...createPlatformRows(entries), ...createSweepRows(entries)];
        return Promise.resolve({ rows, fits: [] });
    }
}

function createNodeRows(entries: number): readonly MeasuredRow[] {
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

function createPlatformRows(entries: number): readonly MeasuredRow[] {
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

function createSweepRows(entries: number): readonly MeasuredRow[] {
    const submissions = targetDeployment.startsPerSecond / entries / tasksPerJob * meanJobSeconds;
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
