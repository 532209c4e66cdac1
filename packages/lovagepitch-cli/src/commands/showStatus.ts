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

/** Processes that are asked at the same time. */
const concurrentRequests = 32;

/** Options of `status`. */
export interface StatusOptions {
    readonly settings: string;
    readonly json: boolean;
}

/** How a process stands. */
export type ProcessState = "in-force" | "behind" | "not-ready" | "unreachable";

/** One line of the report. */
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

/** The whole report. */
export interface StatusReport {
    /** Newest version known: the table's, or with the table down the highest of any process. */
    readonly configurationVersion: number;
    readonly tableReachable: boolean;
    /** Why the agents or the version could not be read. */
    readonly failures: readonly string[];
    readonly processes: readonly ProcessReport[];
}

interface Target {
    readonly role: "entry" | "agent";
    readonly url: string;
    readonly agent?: AgentRegistration;
}

/**
 * Asks every process for its configuration version, readiness and store health.
 *
 * @param environment - files, terminal and network
 * @param options - the command's options
 * @returns nothing when all is well, or the failure
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
        environment.openAgentDirectory(settings.val).listServing(),
    ]);
    const failures = [accepted, agents].flatMap(result => result.err ? [result.val.message] : []);
    const targets: readonly Target[] = [
        ...settings.val.entries.map((url): Target => ({ role: "entry", url })),
        ...(agents.ok ? agents.val : []).map((agent): Target => ({
            role: "agent",
            url: `http://${agent.address}`,
            agent,
        })),
    ];
    const statuses = await readStatuses(environment, targets);
    const versions = [...statuses.values()].map(status => status.configurationVersion);
    const acceptedVersion = accepted.ok ? accepted.val?.version ?? 0 : 0;
    const configurationVersion = Math.max(acceptedVersion, ...versions);
    const processes = targets.map(target => createReport(target, statuses.get(target), configurationVersion));
    const report = { configurationVersion, tableReachable: accepted.ok && agents.ok, failures, processes };
    return finishReport(environment, report, options.json);
}

/**
 * Writes a report, and turns it into the command's end.
 *
 * @param environment - files, terminal and network
 * @param report - the report
 * @param json - true to write JSON
 * @returns nothing when all is well, or the failure
 */
export function finishReport(
    environment: CommandEnvironment,
    report: StatusReport,
    json: boolean,
): Result<void, CommandFailure> {
    writeReport(environment, report, json);
    return judge(report);
}

async function readStatuses(
    environment: CommandEnvironment,
    targets: readonly Target[],
): Promise<ReadonlyMap<Target, ProcessStatus>> {
    const statuses = new Map<Target, ProcessStatus>();
    const pending = [...targets];
    const readPending = async () => {
        for (let target = pending.shift(); target !== undefined; target = pending.shift()) {
            const status = await environment.readStatus(target.url);
            if (status !== undefined) {
                statuses.set(target, status);
            }
        }
    };
    await Promise.all(Array.from({ length: concurrentRequests }, readPending));
    return statuses;
}

function createReport(target: Target, status: ProcessStatus | undefined, newestVersion: number): ProcessReport {
    const { role, url, agent } = target;
    const place = agent === undefined ? {} : { worker: agent.worker, availabilityZone: agent.availabilityZone };
    if (status === undefined) {
        return { role, url, ...place, state: "unreachable" };
    }
    const { configurationVersion, ready, storeHealthy } = status;
    const isBehind = configurationVersion < newestVersion;
    const state = isBehind ? "behind" : ready ? "in-force" : "not-ready";
    return { role, url, ...place, configurationVersion, ready, storeHealthy, state };
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

function judge(report: StatusReport): Result<void, CommandFailure> {
    const unreachable = report.processes.filter(process => process.state === "unreachable");
    const lagging = report.processes.filter(process => process.state !== "in-force" && process.state !== "unreachable");
    if (!report.tableReachable) {
        return fail(exitCodes.unreachable, `The store gave no answer: ${report.failures.join("; ")}`);
    }
    if (unreachable.length > 0) {
        const urls = unreachable.map(process => process.url).join(", ");
        return fail(exitCodes.unreachable, `No answer from ${urls}; check that they run and can be reached from here`);
    }
    if (lagging.length > 0) {
        const urls = lagging.map(process => `${process.url} (${process.state})`).join(", ");
        return fail(
            exitCodes.refused,
            `Not in force everywhere: ${urls}; ask again in a few seconds, then see their logs`,
        );
    }
    return Ok(undefined);
}

function fail(exitCode: ExitCode, message: string): Result<never, CommandFailure> {
    return Err(new CommandFailure(exitCode, message));
}
