/**
 * The action of `lovagepitch status --store`: status of the entries of direct jobs, from the users' store and the
 * entries' metrics.
 */
import { Err, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";
import { type ProcessReport, writeAndEvaluateReport } from "./showStatus.js";

/** Options of `status --store`. */
export interface StoreStatusOptions {
    /** Host and port of the store. */
    readonly store: string;
    /** Port on which every entry serves its metrics. */
    readonly metricsPort: number;
    readonly json: boolean;
}

/**
 * Compares the configuration version in the store with the version in force at each entry.
 *
 * @param environment - access to the terminal and the network
 * @param options - the command's options
 * @returns nothing when every entry runs the newest configuration, or the failure
 */
export async function showStoreStatus(
    environment: CommandEnvironment,
    options: StoreStatusOptions,
): Promise<Result<void, CommandFailure>> {
    const overview = await environment.readOverview(options.store);
    if (overview.err) {
        return Err(new CommandFailure(exitCodes.unreachable, `${options.store}: ${overview.val.message}`));
    }
    const { configurationVersion: acceptedVersion, entryAddresses } = overview.val;
    if (acceptedVersion === "unreadable" || acceptedVersion === undefined) {
        const problem = acceptedVersion === undefined
            ? "holds no configuration"
            : "holds a configuration that cannot be read";
        const message =
            `${options.store} ${problem}; entries keep the version in force; write a complete one to the store`;
        return Err(new CommandFailure(exitCodes.refused, message));
    }
    const addresses = entryAddresses.map(address => `${address.split(":")[0]}:${options.metricsPort}`);
    const versions = await Promise.all(addresses.map(address => readConfigurationVersion(environment, address)));
    const processes = addresses.map((address, index) => createProcessReport(address, versions[index], acceptedVersion));
    const report = { configurationVersion: acceptedVersion, tableReachable: true, failures: [], processes };
    return writeAndEvaluateReport(environment, report, options.json);
}

async function readConfigurationVersion(environment: CommandEnvironment, address: string): Promise<number | undefined> {
    const metrics = await environment.readMetrics(address);
    const match = /^lovagepitch_configuration_version (\d+)$/m.exec(metrics ?? "");
    return match === null ? undefined : Number(match[1]);
}

function createProcessReport(url: string, version: number | undefined, acceptedVersion: number): ProcessReport {
    if (version === undefined) {
        return { role: "entry", url, state: "unreachable" };
    }
    // An entry may have received a newer version after the store was read.
    return {
        role: "entry",
        url,
        configurationVersion: version,
        state: version < acceptedVersion ? "behind" : "in-force",
    };
}
