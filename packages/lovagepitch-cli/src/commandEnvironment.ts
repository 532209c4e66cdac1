/**
 * What commands touch outside themselves.
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

/** Files, terminal and network; tests pass in one of their own. */
export abstract class CommandEnvironment {
    /** Name of the operator, when the machine tells it. */
    public abstract readonly userName: string | undefined;

    /**
     * Writes a line to standard output.
     *
     * @param line - the line without its end
     */
    public abstract writeLine(line: string): void;

    /**
     * Writes a line to standard error.
     *
     * @param line - the line without its end
     */
    public abstract writeErrorLine(line: string): void;

    /**
     * Reads a text file, or standard input.
     *
     * @param fileName - name of the file; `-` reads standard input
     * @returns the text, or the failure
     */
    public abstract readText(fileName: string): Promise<Result<string, CommandFailure>>;

    /**
     * Opens the accepted manifest.
     *
     * @param settings - tells where the platform is
     * @returns the store
     */
    public abstract openManifestStore(settings: OperatorSettings): ManifestStore;

    /**
     * Opens the registry.
     *
     * @param settings - tells where the platform is
     * @returns the agents
     */
    public abstract openAgentDirectory(settings: OperatorSettings): AgentDirectory;

    /**
     * Reads what the users' store tells about a deployment of direct jobs.
     *
     * @param storeAddress - host and port of the store
     * @returns the overview, or why it could not be read
     */
    public abstract readOverview(storeAddress: string): Promise<Result<DeploymentOverview, StoreFailure>>;

    /**
     * Reads the metrics of a process.
     *
     * @param address - host and port
     * @returns the text, or undefined when it gave none
     */
    public abstract readMetrics(address: string): Promise<string | undefined>;

    /**
     * Asks a process for its status.
     *
     * @param url - base address of the process
     * @returns its status, or undefined when it gave none
     */
    public abstract readStatus(url: string): Promise<ProcessStatus | undefined>;

    /**
     * Runs a job.
     *
     * @param settings - names the entries
     * @param identity - how the submission is made idempotent
     * @param job - the job
     * @param options - the caller's key and time limit
     * @returns how it ended
     */
    public abstract runJob(
        settings: OperatorSettings,
        identity: SubmissionIdentityKind,
        job: JobRequest,
        options: RunJobOptions,
    ): Promise<JobResult>;

    /**
     * Runs an entry until it is stopped.
     *
     * @param settingsPath - file with the entry's settings
     * @returns nothing, or why it could not run
     */
    public abstract runEntry(settingsPath: string): Promise<Result<void, CommandFailure>>;
}
