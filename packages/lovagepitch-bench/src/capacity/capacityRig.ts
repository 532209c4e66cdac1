/**
 * A small deployment for measurements: real entry processes, a platform stand-in behind relays that count requests,
 * and agents as separate processes or hosted in one process.
 */
import { agentSettingsSchema } from "@lovagepitch/configuration/agentSettingsSchema";
import { type PlatformServer, startPlatformServer } from "@lovagepitch/testing/standIns/platformServer";
import type { Manifest } from "@lovagepitch/types/manifest";
import type { AgentSettings } from "@lovagepitch/types/settings";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createCapacityManifest } from "./capacityManifest.js";
import { addEntryCounts, type EntryCounts, EntryProgram } from "./entryProgram.js";
import { type HostedAgentsFile, nameRack } from "./hostedAgentsFile.js";
import { ProgramProcess, programs } from "./programProcess.js";
import { TrafficRelay } from "./trafficRelay.js";

const submissionKey = "a key for measurements of at least thirty-two characters";
/** Placeholder; applying a manifest sends no request to an entry. */
const unusedEntryUrl = "http://127.0.0.1:9";
const operatorName = "capacity";
const dayMilliseconds = 86_400_000;
const registrationTimeoutMilliseconds = 30_000;
const registrationPollMilliseconds = 100;
const versionPollMilliseconds = 50;
/** Entries read the registry every two seconds; a measurement starts after one more read. */
const settlePauseMilliseconds = 2_500;

/** Size of the deployment. */
export interface RigOptions {
    readonly entries: number;
    /** Number of agents hosted in one additional process. */
    readonly hostedAgents: number;
    readonly slots: number;
    readonly teams?: number;
    readonly availabilityZones?: number;
}

/** A running deployment for measurements. */
export class CapacityRig {
    /** Running entry processes. */
    public readonly entries: EntryProgram[] = [];
    /** Relay between the entries and the platform. */
    public readonly entryRelay: TrafficRelay;
    /** Relay between the agents and the platform. */
    public readonly agentRelay: TrafficRelay;
    /** Relay between the operator's commands and the platform. */
    public readonly operatorRelay: TrafficRelay;
    private readonly directory = mkdtempSync(join(tmpdir(), "capacity-"));
    private readonly otherProcesses: ProgramProcess[] = [];
    private readonly zones: number;
    private readonly relayUrls = { entry: "", agent: "", operator: "" };
    private fileCount = 0;
    private hostedAgentsProcess: ProgramProcess | undefined;

    private constructor(private readonly options: RigOptions, public readonly platform: PlatformServer) {
        const port = Number(new URL(platform.url).port);
        this.entryRelay = new TrafficRelay(port);
        this.agentRelay = new TrafficRelay(port);
        this.operatorRelay = new TrafficRelay(port);
        this.zones = options.availabilityZones ?? 1;
    }

    /**
     * Starts a deployment and waits until every entry knows every hosted agent.
     *
     * @param options - size of the deployment
     * @returns the running deployment
     */
    public static async start(options: RigOptions): Promise<CapacityRig> {
        const rig = new CapacityRig(options, await startPlatformServer());
        rig.relayUrls.entry = await rig.entryRelay.listen();
        rig.relayUrls.agent = await rig.agentRelay.listen();
        rig.relayUrls.operator = await rig.operatorRelay.listen();
        await rig.applyManifest(createCapacityManifest(options.teams ?? 1, rig.zones), 0);
        await Promise.all(Array.from({ length: options.entries }, () => rig.startEntry()));
        if (options.hostedAgents > 0) {
            await rig.startHostedAgents();
        }
        await rig.waitForAgents(options.hostedAgents);
        return rig;
    }

    /**
     * Starts an entry process.
     *
     * @returns a promise that resolves when the entry accepts requests
     */
    public async startEntry(): Promise<void> {
        const settings = {
            address: "127.0.0.1",
            port: 0,
            callerPort: 0,
            availabilityZone: "zone-1",
            platform: { url: this.relayUrls.entry, writesPerSecond: 1_000, readsPerSecond: 1_000 },
            submissionKey,
            maximumWaitingTasks: 1_000_000,
        };
        const entry = new EntryProgram(this.writeFile(settings));
        this.entries.push(entry);
        await entry.waitUntilServing();
    }

    /**
     * Waits until a configuration version is in force at every hosted agent and every entry.
     *
     * @param version - configuration version to wait for
     * @returns a promise that resolves when the version is in force
     */
    public async waitForVersion(version: number): Promise<void> {
        await this.hostedAgentsProcess?.waitForLine(new RegExp(`"version":${version}\\b`));
        while ((await this.readEntryCounts()).configurationVersion < version) {
            await sleep(versionPollMilliseconds);
        }
    }

    /**
     * Starts an agent and its backend server stand-in as separate processes.
     *
     * @param position - index of the worker
     * @param slots - number of slots of the backend server
     * @param engineFlags - Node.js flags of the agent's process
     * @returns the agent's process
     */
    public async startAgentProcess(
        position: number,
        slots: number,
        engineFlags: readonly string[] = [],
    ): Promise<ProgramProcess> {
        const settings = this.createAgentSettings(position);
        const agent = new ProgramProcess(programs.agent, ["--settings", this.writeFile(settings)], engineFlags);
        this.otherProcesses.push(agent);
        const match = await agent.waitForLine(/"localPort":(\d+)/);
        const backendServer = new ProgramProcess(programs.backendServer, [
            "--agent",
            `http://127.0.0.1:${match[1]}`,
            "--slots",
            String(slots),
        ]);
        this.otherProcesses.push(backendServer);
        await backendServer.waitForLine(/"listening"/);
        return agent;
    }

    /**
     * Applies a manifest with `lovagepitch manifest apply`.
     *
     * @param manifest - manifest to apply
     * @param base - version that the manifest is based on
     * @returns a promise that resolves when the manifest has been accepted
     */
    public async applyManifest(manifest: Manifest, base: number): Promise<void> {
        const operator = this.writeFile({ platform: { url: this.relayUrls.operator }, entries: [unusedEntryUrl] });
        const file = this.writeFile(manifest);
        const commandArguments = [
            "manifest",
            "apply",
            file,
            "--settings",
            operator,
            "--base",
            String(base),
            "--applied-by",
            operatorName,
        ];
        const command = new ProgramProcess(programs.cli, commandArguments);
        const exitCode = await command.waitForExit();
        if (exitCode !== 0) {
            throw new Error(`lovagepitch manifest apply failed with exit code ${exitCode}: ${command.lastErrors}`);
        }
    }

    /**
     * Waits until every entry knows a number of agents.
     *
     * @param agents - number of agents
     * @returns a promise that resolves when every entry knows them
     */
    public async waitForAgents(agents: number): Promise<void> {
        const endAt = performance.now() + registrationTimeoutMilliseconds;
        while ((await this.readEntryCounts()).agents < agents) {
            if (performance.now() > endAt) {
                const known = (await this.readEntryCounts()).agents;
                throw new Error(
                    `only ${known} of ${agents} agents are known to every entry; retry on a less busy machine`,
                );
            }
            await sleep(registrationPollMilliseconds);
        }
        await sleep(settlePauseMilliseconds);
    }

    /**
     * Reads and sums up the counts of all entries.
     *
     * @returns the sums over all entries
     */
    public async readEntryCounts(): Promise<EntryCounts> {
        return addEntryCounts(await Promise.all(this.entries.map(entry => entry.readCounts())));
    }

    /**
     * Kills all processes and removes their files.
     *
     * @returns a promise that resolves when all processes have exited
     */
    public async stop(): Promise<void> {
        await Promise.all([...this.entries, ...this.otherProcesses].map(one => one.kill()));
        this.entryRelay.close();
        this.agentRelay.close();
        this.operatorRelay.close();
        await this.platform.close();
        rmSync(this.directory, { recursive: true, force: true });
    }

    private async startHostedAgents(): Promise<void> {
        const { hostedAgents, slots } = this.options;
        const agents = Array.from({ length: hostedAgents }, (_unused, position) => this.createAgentSettings(position));
        const file: HostedAgentsFile = { slots, agents };
        this.hostedAgentsProcess = new ProgramProcess(programs.hostedAgents, [this.writeFile(file)]);
        this.otherProcesses.push(this.hostedAgentsProcess);
        await this.hostedAgentsProcess.waitForLine(/"hosted":/);
    }

    private createAgentSettings(position: number): AgentSettings {
        return agentSettingsSchema.parse({
            address: "127.0.0.1",
            port: 0,
            localPort: 0,
            availabilityZone: `zone-${position % this.zones + 1}`,
            // The default limits would delay the start of many agents one after another.
            platform: { url: this.relayUrls.agent, writesPerSecond: 100, readsPerSecond: 100 },
            submissionKey,
            logLevel: this.options.hostedAgents > 0 ? "error" : "info",
            worker: `worker-${position + 1}`,
            rack: nameRack(position),
            cores: 16,
            memoryMegabytes: 32_768,
            // Hosted agents receive a single announcement of their backend server, so it must not expire.
            backendServerTimeoutMilliseconds: this.options.hostedAgents > 0 ? dayMilliseconds : 5_000,
        });
    }

    private writeFile(content: unknown): string {
        this.fileCount += 1;
        const path = join(this.directory, `${this.fileCount}.json`);
        writeFileSync(path, JSON.stringify(content));
        return path;
    }
}
