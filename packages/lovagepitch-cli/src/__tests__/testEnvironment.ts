/** Command environment in memory, with the real repositories of the platform on an in-memory table. */
import type { RunJobOptions, SubmissionIdentityKind } from "@lovagepitch/client/clientOptions";
import type { JobResult } from "@lovagepitch/client/jobResult";
import type { DeploymentOverview } from "@lovagepitch/direct/process/deploymentOverview";
import type { StoreFailure } from "@lovagepitch/direct/process/sharedRows";
import { Delay } from "@lovagepitch/platform/delay";
import { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { JobRequest } from "@lovagepitch/types/job";
import type { OperatorSettings } from "@lovagepitch/types/settings";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { readFileSync } from "node:fs";
import type { AgentDirectory } from "../agentDirectory.js";
import { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";
import type { ManifestStore } from "../manifestStore.js";
import { PlatformAgentDirectory, PlatformManifestStore } from "../platformStores.js";
import type { ProcessStatus } from "../processStatus.js";
import { MemoryTable } from "./memoryTable.js";

class NoDelay extends Delay {
    public override async wait(): Promise<void> {
        await Promise.resolve();
    }
}

/** Arguments of one call of `runJob`. */
export interface SubmittedJob {
    readonly identity: SubmissionIdentityKind;
    readonly job: JobRequest;
    readonly options: RunJobOptions;
}

export class TestEnvironment extends CommandEnvironment {
    public override userName: string | undefined = "amara";
    public readonly output: string[] = [];
    public readonly errors: string[] = [];
    public readonly files = new Map<string, string>();
    public readonly table = new MemoryTable();
    public readonly statuses = new Map<string, ProcessStatus>();
    public readonly submittedJobs: SubmittedJob[] = [];
    public readonly startedEntries: string[] = [];
    public readonly metrics = new Map<string, string>();
    public overview: Result<DeploymentOverview, StoreFailure> = Ok({
        configurationVersion: undefined,
        entryAddresses: [],
    });
    public jobResult: JobResult | undefined;
    private readonly retryPolicy = new RetryPolicy(new RandomSource(1), new NoDelay());
    public readonly registry = new RegistryRepository(this.table, this.retryPolicy, new ManualClock(1_700_000_000_000));

    public override writeLine(line: string): void {
        this.output.push(line);
    }

    public override writeErrorLine(line: string): void {
        this.errors.push(line);
    }

    public override async readText(fileName: string): Promise<Result<string, CommandFailure>> {
        await Promise.resolve();
        const text = this.files.get(fileName) ?? readExample(fileName);
        return text === undefined ? Err(new CommandFailure(exitCodes.refused, `${fileName}: missing`)) : Ok(text);
    }

    public override async readLines(
        fileName: string,
        onLine: (line: string) => void,
    ): Promise<Result<undefined, CommandFailure>> {
        const text = await this.readText(fileName);
        return text.map(content => {
            content.split("\n").forEach(onLine);
            return undefined;
        });
    }

    public override openManifestStore(): ManifestStore {
        return new PlatformManifestStore(new ManifestRepository(this.table, this.retryPolicy));
    }

    public override openAgentDirectory(): AgentDirectory {
        return new PlatformAgentDirectory(this.registry);
    }

    public override async readOverview(): Promise<Result<DeploymentOverview, StoreFailure>> {
        await Promise.resolve();
        return this.overview;
    }

    public override async readMetrics(address: string): Promise<string | undefined> {
        await Promise.resolve();
        return this.metrics.get(address);
    }

    public override async readStatus(url: string): Promise<ProcessStatus | undefined> {
        await Promise.resolve();
        return this.statuses.get(url);
    }

    public override async runJob(
        _settings: OperatorSettings,
        identity: SubmissionIdentityKind,
        job: JobRequest,
        options: RunJobOptions,
    ): Promise<JobResult> {
        await Promise.resolve();
        this.submittedJobs.push({ identity, job, options });
        return this.jobResult as JobResult;
    }

    public override async runEntry(settingsPath: string): Promise<Result<void, CommandFailure>> {
        await Promise.resolve();
        this.startedEntries.push(settingsPath);
        return Ok(undefined);
    }
}

function readExample(fileName: string): string | undefined {
    return fileName.startsWith("examples/") ? readFileSync(fileName, "utf8") : undefined;
}
