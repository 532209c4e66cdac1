/**
 * Interface between the commands and the outside world: files, terminal and network.
 */
import type { RunJobOptions } from "@lovagepitch/client/clientOptions";
import type { SubmissionIdentityKind } from "@lovagepitch/client/clientOptions";
import type { JobResult } from "@lovagepitch/client/jobResult";
import type { DeploymentOverview } from "@lovagepitch/direct/process/deploymentOverview";
import type { StoreFailure } from "@lovagepitch/direct/process/sharedRows";
import type { JobRequest } from "@lovagepitch/types/job";
import type { OperatorSettings } from "@lovagepitch/types/settings";
import type { Result } from "@lovagepitch/utils/result";
import type { AgentDirectory } from "./agentDirectory.js";
import type { CommandFailure } from "./exitCode.js";
import type { ManifestStore } from "./manifestStore.js";
import type { ProcessStatus } from "./processStatus.js";

/** Access to files, terminal and network; tests replace it by an in-memory implementation. */
export abstract class CommandEnvironment {
    /** Name of the operating system's user, or undefined when it is not set. */
    public abstract readonly userName: string | undefined;

    /**
     * Writes a line to standard output.
     *
     * @param line - the line without its line break
     */
    public abstract writeLine(line: string): void;

    /**
     * Writes a line to standard error.
     *
     * @param line - the line without its line break
     */
    public abstract writeErrorLine(line: string): void;

    /**
     * Reads a text file, or standard input.
     *
     * @param fileName - name of the file; `-` reads standard input
     * @returns the content, or the failure
     */
    public abstract readText(fileName: string): Promise<Result<string, CommandFailure>>;

    /**
     * Reads a text file, or standard input, line by line without keeping it in memory.
     *
     * @param fileName - name of the file; `-` reads standard input
     * @param onLine - called with each line
     * @returns nothing, or the failure
     */
    public abstract readLines(
        fileName: string,
        onLine: (line: string) => void,
    ): Promise<Result<undefined, CommandFailure>>;

    /**
     * Opens the store of accepted manifests.
     *
     * @param settings - the operator's settings, which hold the platform's address
     * @returns the manifest store
     */
    public abstract openManifestStore(settings: OperatorSettings): ManifestStore;

    /**
     * Opens the registry of agents.
     *
     * @param settings - the operator's settings, which hold the platform's address
     * @returns the directory of registered agents
     */
    public abstract openAgentDirectory(settings: OperatorSettings): AgentDirectory;

    /**
     * Reads the configuration version and the entry addresses of a deployment of direct jobs from the users' store.
     *
     * @param storeAddress - host and port of the store
     * @returns the overview, or the failure of the read
     */
    public abstract readOverview(storeAddress: string): Promise<Result<DeploymentOverview, StoreFailure>>;

    /**
     * Reads the metrics of a process in Prometheus text format.
     *
     * @param address - host and port of the metrics endpoint
     * @returns the text, or undefined when the process did not respond
     */
    public abstract readMetrics(address: string): Promise<string | undefined>;

    /**
     * Requests the status document of a process.
     *
     * @param url - base address of the process
     * @returns the status, or undefined when the process did not respond or sent no valid document
     */
    public abstract readStatus(url: string): Promise<ProcessStatus | undefined>;

    /**
     * Submits a job and waits for its result.
     *
     * @param settings - the operator's settings, which hold the entries' addresses
     * @param identity - whether the job is submitted under an issued id or a caller's key
     * @param job - the job to submit
     * @param options - the caller's key and time limit
     * @returns the job's result
     */
    public abstract runJob(
        settings: OperatorSettings,
        identity: SubmissionIdentityKind,
        job: JobRequest,
        options: RunJobOptions,
    ): Promise<JobResult>;

    /**
     * Runs an entry until the process receives a stop signal.
     *
     * @param settingsPath - file with the entry's settings
     * @returns nothing after shutdown, or the reason why the entry could not start
     */
    public abstract runEntry(settingsPath: string): Promise<Result<void, CommandFailure>>;
}
