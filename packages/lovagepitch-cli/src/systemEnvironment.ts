/**
 * Command environment that uses the real files, terminal and network.
 */
import type { RunJobOptions, SubmissionIdentityKind } from "@lovagepitch/client/clientOptions";
import type { JobResult } from "@lovagepitch/client/jobResult";
import { LovagepitchClient } from "@lovagepitch/client/lovagepitchClient";
import { type DeploymentOverview, readOverview } from "@lovagepitch/direct/process/deploymentOverview";
import type { StoreFailure } from "@lovagepitch/direct/process/sharedRows";
import { SystemDelay } from "@lovagepitch/platform/delay";
import { HttpTable } from "@lovagepitch/platform/httpTable";
import { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import { PlatformConnection } from "@lovagepitch/platform/platformConnection";
import { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { JobRequest } from "@lovagepitch/types/job";
import type { OperatorSettings } from "@lovagepitch/types/settings";
import { OperatorConfigurationRow } from "@lovagepitch/users-platform/operatorConfiguration";
import { StoreRows } from "@lovagepitch/users-platform/storeRows";
import { SystemClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { randomInt } from "node:crypto";
import { open, readFile } from "node:fs/promises";
import { createInterface } from "node:readline";
import { text as readStream } from "node:stream/consumers";
import { request } from "undici";
import type { AgentDirectory } from "./agentDirectory.js";
import { CommandEnvironment } from "./commandEnvironment.js";
import { CommandFailure, exitCodes } from "./exitCode.js";
import type { ManifestStore } from "./manifestStore.js";
import { PlatformAgentDirectory, PlatformManifestStore } from "./platformStores.js";
import { parseProcessStatus, type ProcessStatus } from "./processStatus.js";

const responseTimeoutMilliseconds = 2000;
const maximumResponseCharacters = 65_536;
const maximumSeed = 0x7fff_ffff;

/** Files, terminal and network of the host that the command runs on. */
export class SystemEnvironment extends CommandEnvironment {
    /** {@inheritDoc CommandEnvironment.userName} */
    public override readonly userName = process.env["USER"];

    private readonly clock = new SystemClock();
    private readonly delay = new SystemDelay();
    private readonly random = new RandomSource(randomInt(maximumSeed));
    private readonly connections = new Map<string, PlatformConnection>();

    /** {@inheritDoc CommandEnvironment.writeLine} */
    public override writeLine(line: string): void {
        process.stdout.write(`${line}\n`);
    }

    /** {@inheritDoc CommandEnvironment.writeErrorLine} */
    public override writeErrorLine(line: string): void {
        process.stderr.write(`${line}\n`);
    }

    /** {@inheritDoc CommandEnvironment.readText} */
    public override async readText(fileName: string): Promise<Result<string, CommandFailure>> {
        try {
            return Ok(fileName === "-" ? await readStream(process.stdin) : await readFile(fileName, "utf8"));
        }
        catch (error) {
            return Err(createReadFailure(fileName, error));
        }
    }

    /** {@inheritDoc CommandEnvironment.readLines} */
    public override async readLines(
        fileName: string,
        onLine: (line: string) => void,
    ): Promise<Result<undefined, CommandFailure>> {
        try {
            const input = fileName === "-" ? process.stdin : (await open(fileName)).createReadStream();
            for await (const line of createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY })) {
                onLine(line);
            }
            return Ok(undefined);
        }
        catch (error) {
            return Err(createReadFailure(fileName, error));
        }
    }

    /** {@inheritDoc CommandEnvironment.openManifestStore} */
    public override openManifestStore(settings: OperatorSettings): ManifestStore {
        return new PlatformManifestStore(new ManifestRepository(this.openTable(settings), this.createRetryPolicy()));
    }

    /** {@inheritDoc CommandEnvironment.openAgentDirectory} */
    public override openAgentDirectory(settings: OperatorSettings): AgentDirectory {
        const registry = new RegistryRepository(this.openTable(settings), this.createRetryPolicy(), this.clock);
        return new PlatformAgentDirectory(registry);
    }

    /** {@inheritDoc CommandEnvironment.readOverview} */
    public override async readOverview(storeAddress: string): Promise<Result<DeploymentOverview, StoreFailure>> {
        return readOverview(new StoreRows(storeAddress), new OperatorConfigurationRow());
    }

    /** {@inheritDoc CommandEnvironment.readMetrics} */
    public override async readMetrics(address: string): Promise<string | undefined> {
        return fetchText(`http://${address}/metrics`);
    }

    /** {@inheritDoc CommandEnvironment.readStatus} */
    public override async readStatus(url: string): Promise<ProcessStatus | undefined> {
        const body = await fetchText(`${url}/status`);
        try {
            return body === undefined ? undefined : parseProcessStatus(JSON.parse(body));
        }
        catch {
            return undefined;
        }
    }

    /** {@inheritDoc CommandEnvironment.runJob} */
    public override async runJob(
        settings: OperatorSettings,
        identity: SubmissionIdentityKind,
        job: JobRequest,
        options: RunJobOptions,
    ): Promise<JobResult> {
        const client = new LovagepitchClient({ entries: settings.entries, identity, idBatchSize: 1 });
        const result = await client.runJob(job, options);
        await client.close();
        return result;
    }

    /** {@inheritDoc CommandEnvironment.runEntry} */
    public override async runEntry(settingsPath: string): Promise<Result<void, CommandFailure>> {
        try {
            // Imported on demand, so that the other commands start quickly.
            const { runEntry } = await import("@lovagepitch/entry/process/runEntry");
            await runEntry(settingsPath);
            return Ok(undefined);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            return Err(new CommandFailure(exitCodes.refused, `The entry could not start: ${reason}`));
        }
    }

    /**
     * Closes all connections to the platform.
     *
     * @returns a promise that resolves when they are closed
     */
    public async close(): Promise<void> {
        await Promise.all([...this.connections.values()].map(connection => connection.close()));
    }

    private openTable(settings: OperatorSettings): HttpTable {
        const url = settings.platform.url;
        const connection = this.connections.get(url)
            ?? new PlatformConnection(settings.platform, this.clock, this.random, this.delay);
        this.connections.set(url, connection);
        return new HttpTable(connection);
    }

    private createRetryPolicy(): RetryPolicy {
        return new RetryPolicy(this.random, this.delay);
    }
}

/** Fetches a short text; returns undefined when the process does not respond with status 200 in time. */
async function fetchText(url: string): Promise<string | undefined> {
    try {
        const response = await request(url, { signal: AbortSignal.timeout(responseTimeoutMilliseconds) });
        const body = await response.body.text();
        return response.statusCode === 200 && body.length <= maximumResponseCharacters ? body : undefined;
    }
    catch {
        return undefined;
    }
}

function createReadFailure(fileName: string, error: unknown): CommandFailure {
    const reason = error instanceof Error ? error.message : String(error);
    const message = `${fileName}: cannot be read (${reason}); check the name and the permissions`;
    return new CommandFailure(exitCodes.refused, message);
}
