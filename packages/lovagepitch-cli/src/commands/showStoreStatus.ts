/**
 * The action of `lovagepitch status --store`: entries of direct jobs, as the users' store and their metrics show them.
 */
import { Err, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";
import { finishReport, type ProcessReport } from "./showStatus.js";

/** Options of `status --store`. */
export interface StoreStatusOptions {
    /** Host and port of the store. */
    readonly store: string;
    /** Port at which every process serves its metrics. */
    readonly metricsPort: number;
    readonly json: boolean;
}

/**
 * Compares the configuration in the store with what each entry has in force.
 *
 * @param environment - files, terminal and network
 * @param options - the command's options
 * @returns nothing when all is well, or the failure
 */
export async function showStoreStatus(
    environment: CommandEnvironment,
    options: StoreStatusOptions,
): Promise<Result<void, CommandFailure>> {
    const overview = await environment.readOverview(options.store);
    if (overview.err) {
        return Err(new CommandFailure(exitCodes.unreachable, `${options.store}: ${overview.val.message}`));
    }
    const { configurationVersion: accepted, entryAddresses } = overview.val;
    if (accepted === "unreadable" || accepted === undefined) {
        const fault = accepted === undefined ? "holds no configuration" : "holds a configuration that cannot be read";
        const message = `${options.store} ${fault}; entries keep the version in force, write a whole one to the store`;
        return Err(new CommandFailure(exitCodes.refused, message));
    }
    const addresses = entryAddresses.map(address => `${address.split(":")[0]}:${options.metricsPort}`);
    const versions = await Promise.all(addresses.map(address => readVersion(environment, address)));
    const processes = addresses.map((address, index) => createReport(address, versions[index], accepted));
    const report = { configurationVersion: accepted, tableReachable: true, failures: [], processes };
    return finishReport(environment, report, options.json);
}

async function readVersion(environment: CommandEnvironment, address: string): Promise<number | undefined> {
    const metrics = await environment.readMetrics(address);
    const found = /^lovagepitch_configuration_version (\d+)$/m.exec(metrics ?? "");
    return found === null ? undefined : Number(found[1]);
}

function createReport(url: string, version: number | undefined, accepted: number): ProcessReport {
    if (version === undefined) {
        return { role: "entry", url, state: "unreachable" };
    }
    // An entry may have heard of a newer version since the store was read.
    return { role: "entry", url, configurationVersion: version, state: version < accepted ? "behind" : "in-force" };
}
