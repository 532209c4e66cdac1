/**
 * The action of `lovagepitch status`.
 */
import type { AgentRegistration } from "@lovagepitch/types/registry";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, type ExitCode, exitCodes } from "../exitCode.js";
import { formatTable } from "../formatTable.js";
import { loadSettingsFile } from "../loadFile.js";
import type { ProcessStatus } from "../processStatus.js";

/** Number of status requests in flight at the same time. */
const maximumConcurrentRequests = 32;

/** Options of `status`. */
export interface StatusOptions {
    readonly settings: string;
    readonly json: boolean;
}

/** Whether a process is reachable and ready, and runs the newest configuration. */
export type ProcessState = "in-force" | "behind" | "not-ready" | "unreachable";

/** Status of one process, a row of the report. */
export interface ProcessReport {
    readonly role: "entry" | "agent";
    readonly url: string;
    readonly worker?: string;
    readonly availabilityZone?: string;
    readonly configurationVersion?: number;
    readonly ready?: boolean;
    readonly storeHealthy?: boolean;
    readonly state: ProcessState;
}

/** Status of the deployment; `--json` prints it in this form. */
export interface StatusReport {
    /** Newest known version: the highest of the table's version and the versions that the processes report. */
    readonly configurationVersion: number;
    readonly tableReachable: boolean;
    /** Errors of reading the accepted version or the agents from the table. */
    readonly failures: readonly string[];
    readonly processes: readonly ProcessReport[];
}

/** A process to request the status of. */
interface StatusTarget {
    readonly role: "entry" | "agent";
    readonly url: string;
    readonly agent?: AgentRegistration;
}

/**
 * Prints the configuration version, readiness and store health of every process.
 *
 * @param environment - access to files, the terminal and the network
 * @param options - the command's options
 * @returns nothing when every process is ready and runs the newest configuration, or the failure
 */
export async function showStatus(
    environment: CommandEnvironment,
    options: StatusOptions,
): Promise<Result<void, CommandFailure>> {
    const settings = await loadSettingsFile(environment, options.settings);
    if (settings.err) {
        return settings;
    }
    const [accepted, agents] = await Promise.all([
        environment.openManifestStore(settings.val).read(),
        environment.openAgentDirectory(settings.val).listServingAgents(),
    ]);
    const failures = [accepted, agents].flatMap(result => result.err ? [result.val.message] : []);
    const targets: readonly StatusTarget[] = [
        ...settings.val.entries.map((url): StatusTarget => ({ role: "entry", url })),
        ...(agents.ok ? agents.val : []).map((agent): StatusTarget => ({
            role: "agent",
            url: `http://${agent.address}`,
            agent,
        })),
    ];
    const statuses = await readStatuses(environment, targets);
    const versions = [...statuses.values()].map(status => status.configurationVersion);
    const acceptedVersion = accepted.ok ? accepted.val?.version ?? 0 : 0;
    const configurationVersion = Math.max(acceptedVersion, ...versions);
    const processes = targets.map(target => createProcessReport(target, statuses.get(target), configurationVersion));
    const report = { configurationVersion, tableReachable: accepted.ok && agents.ok, failures, processes };
    return writeAndEvaluateReport(environment, report, options.json);
}

/**
 * Prints a report and derives the command's result from it.
 *
 * @param environment - access to the terminal
 * @param report - status of the deployment
 * @param json - true to print JSON instead of a table
 * @returns nothing when every process is ready and runs the newest configuration, or the failure
 */
export function writeAndEvaluateReport(
    environment: CommandEnvironment,
    report: StatusReport,
    json: boolean,
): Result<void, CommandFailure> {
    writeReport(environment, report, json);
    return evaluateReport(report);
}

async function readStatuses(
    environment: CommandEnvironment,
    targets: readonly StatusTarget[],
): Promise<ReadonlyMap<StatusTarget, ProcessStatus>> {
    const statuses = new Map<StatusTarget, ProcessStatus>();
    const pending = [...targets];
    const readPending = async () => {
        for (let target = pending.shift(); target !== undefined; target = pending.shift()) {
            const status = await environment.readStatus(target.url);
            if (status !== undefined) {
                statuses.set(target, status);
            }
        }
    };
    await Promise.all(Array.from({ length: maximumConcurrentRequests }, readPending));
    return statuses;
}

function createProcessReport(
    target: StatusTarget,
    status: ProcessStatus | undefined,
    newestVersion: number,
): ProcessReport {
    const { role, url, agent } = target;
    const location = agent === undefined ? {} : { worker: agent.worker, availabilityZone: agent.availabilityZone };
    if (status === undefined) {
        return { role, url, ...location, state: "unreachable" };
    }
    const { configurationVersion, ready, storeHealthy } = status;
    const isBehind = configurationVersion < newestVersion;
    const state = isBehind ? "behind" : ready ? "in-force" : "not-ready";
    return { role, url, ...location, configurationVersion, ready, storeHealthy, state };
}

function writeReport(environment: CommandEnvironment, report: StatusReport, json: boolean): void {
    if (json) {
        environment.writeLine(JSON.stringify(report));
        return;
    }
    environment.writeLine(`configuration version ${report.configurationVersion}`);
    const header = ["ROLE", "ADDRESS", "WORKER", "ZONE", "VERSION", "READY", "STORE", "STATE"];
    const rows = report.processes.map(process => [
        process.role,
        process.url,
        process.worker ?? "-",
        process.availabilityZone ?? "-",
        process.configurationVersion?.toString() ?? "-",
        formatFlag(process.ready, "yes", "no"),
        formatFlag(process.storeHealthy, "up", "down"),
        process.state,
    ]);
    formatTable([header, ...rows]).forEach(line => environment.writeLine(line));
}

function formatFlag(flag: boolean | undefined, yes: string, no: string): string {
    return flag === undefined ? "-" : flag ? yes : no;
}

function evaluateReport(report: StatusReport): Result<void, CommandFailure> {
    const unreachable = report.processes.filter(process => process.state === "unreachable");
    const notInForce = report.processes.filter(process =>
        process.state !== "in-force" && process.state !== "unreachable"
    );
    if (!report.tableReachable) {
        return createFailure(
            exitCodes.unreachable,
            `The platform's table could not be read: ${report.failures.join("; ")}`,
        );
    }
    if (unreachable.length > 0) {
        const urls = unreachable.map(process => process.url).join(", ");
        return createFailure(
            exitCodes.unreachable,
            `No response from ${urls}; check that they are running and reachable from this host`,
        );
    }
    if (notInForce.length > 0) {
        const urls = notInForce.map(process => `${process.url} (${process.state})`).join(", ");
        return createFailure(
            exitCodes.refused,
            `Outdated or not ready: ${urls}; retry in a few seconds, then check their logs`,
        );
    }
    return Ok(undefined);
}

function createFailure(exitCode: ExitCode, message: string): Result<never, CommandFailure> {
    return Err(new CommandFailure(exitCode, message));
}
