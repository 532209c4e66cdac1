/**
 * A small deployment for measurements: real entry processes, the platform's stand-in behind counting relays, and
 * agents as processes of their own or many in one process.
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
import { addReadings, EntryProgram, type EntryReading } from "./entryProgram.js";
import { type HostedAgentsFile, nameRack } from "./hostedAgentsFile.js";
import { ProgramProcess, programs } from "./programProcess.js";
import { TrafficRelay } from "./trafficRelay.js";

const submissionKey = "a key for measurements of at least thirty-two characters";
/** The command that applies a manifest asks no entry. */
const unusedEntryUrl = "http://127.0.0.1:9";
const operatorName = "capacity";
const dayMilliseconds = 86_400_000;
const settleLimitMilliseconds = 30_000;
const settlePollMilliseconds = 100;
const versionPollMilliseconds = 50;
/** Entries read the registry every two seconds; a measurement starts after one more reading. */
const settlePauseMilliseconds = 2_500;

/** Sizes of a rig. */
export interface RigOptions {
    readonly entries: number;
    /** Agents that one more process hosts. */
    readonly hostedAgents: number;
    readonly slots: number;
    readonly teams?: number;
    readonly availabilityZones?: number;
}

/** A running deployment. */
export class CapacityRig {
    /** The entries. */
    public readonly entries: EntryProgram[] = [];
    /** Relay between the entries and the platform. */
    public readonly entryRelay: TrafficRelay;
    /** Relay between the agents and the platform. */
    public readonly agentRelay: TrafficRelay;
    /** Relay between the operator's commands and the platform. */
    public readonly operatorRelay: TrafficRelay;
    private readonly directory = mkdtempSync(join(tmpdir(), "capacity-"));
    private readonly others: ProgramProcess[] = [];
    private readonly zones: number;
    private readonly relayUrls = { entry: "", agent: "", operator: "" };
    private files = 0;
    private hosted: ProgramProcess | undefined;

    private constructor(private readonly options: RigOptions, public readonly platform: PlatformServer) {
        const port = Number(new URL(platform.url).port);
        this.entryRelay = new TrafficRelay(port);
        this.agentRelay = new TrafficRelay(port);
        this.operatorRelay = new TrafficRelay(port);
        this.zones = options.availabilityZones ?? 1;
    }

    /**
     * Starts a deployment and waits until every entry knows every agent.
     *
     * @param options - its sizes
     * @returns the deployment
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
     * Starts an entry.
     *
     * @returns when it serves
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
     * @param version - the version
     * @returns when it is
     */
    public async waitForVersion(version: number): Promise<void> {
        await this.hosted?.waitForLine(new RegExp(`"version":${version}\\b`));
        while ((await this.read()).configurationVersion < version) {
            await sleep(versionPollMilliseconds);
        }
    }

    /**
     * Starts an agent and its backend server stand-in as processes.
     *
     * @param position - position of the worker
     * @param slots - slots of the backend server
     * @param engineFlags - flags of Node.js for the agent
     * @returns the agent's process
     */
    public async startAgentProcess(
        position: number,
        slots: number,
        engineFlags: readonly string[] = [],
    ): Promise<ProgramProcess> {
        const settings = this.createAgentSettings(position);
        const agent = new ProgramProcess(programs.agent, ["--settings", this.writeFile(settings)], engineFlags);
        this.others.push(agent);
        const match = await agent.waitForLine(/"localPort":(\d+)/);
        const backendServer = new ProgramProcess(programs.backendServer, [
            "--agent",
            `http://127.0.0.1:${match[1]}`,
            "--slots",
            String(slots),
        ]);
        this.others.push(backendServer);
        await backendServer.waitForLine(/"listening"/);
        return agent;
    }

    /**
     * Applies a manifest by the operator's command.
     *
     * @param manifest - the manifest
     * @param base - version it is based on
     * @returns when it was accepted
     */
    public async applyManifest(manifest: Manifest, base: number): Promise<void> {
        const operator = this.writeFile({ platform: { url: this.relayUrls.operator }, entries: [unusedEntryUrl] });
        const file = this.writeFile(manifest);
        const words = [
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
        const command = new ProgramProcess(programs.cli, words);
        const exitCode = await command.waitForExit();
        if (exitCode !== 0) {
            throw new Error(`the manifest was not accepted, exit code ${exitCode}: ${command.lastErrors}`);
        }
    }

    /**
     * Waits until every entry knows the agents.
     *
     * @param agents - how many
     * @returns when they do
     */
    public async waitForAgents(agents: number): Promise<void> {
        const endAt = performance.now() + settleLimitMilliseconds;
        while ((await this.read()).agents < agents) {
            if (performance.now() > endAt) {
                const known = (await this.read()).agents;
                throw new Error(`only ${known} of ${agents} agents are known; run on a less busy machine`);
            }
            await sleep(settlePollMilliseconds);
        }
        await sleep(settlePauseMilliseconds);
    }

    /**
     * Adds up what the entries tell.
     *
     * @returns the sums
     */
    public async read(): Promise<EntryReading> {
        return addReadings(await Promise.all(this.entries.map(entry => entry.read())));
    }

    /**
     * Ends every process.
     *
     * @returns when the processes have ended
     */
    public async stop(): Promise<void> {
        await Promise.all([...this.entries, ...this.others].map(one => one.kill()));
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
        this.hosted = new ProgramProcess(programs.hostedAgents, [this.writeFile(file)]);
        this.others.push(this.hosted);
        await this.hosted.waitForLine(/"hosted":/);
    }

    private createAgentSettings(position: number): AgentSettings {
        return agentSettingsSchema.parse({
            address: "127.0.0.1",
            port: 0,
            localPort: 0,
            availabilityZone: `zone-${position % this.zones + 1}`,
            // The cap of the defaults would only delay the start of many agents one after the other.
            platform: { url: this.relayUrls.agent, writesPerSecond: 100, readsPerSecond: 100 },
            submissionKey,
            logLevel: this.options.hostedAgents > 0 ? "error" : "info",
            worker: `worker-${position + 1}`,
            rack: nameRack(position),
            cores: 16,
            memoryMegabytes: 32_768,
            // Hosted agents are told of their backend server once.
            backendServerTimeoutMilliseconds: this.options.hostedAgents > 0 ? dayMilliseconds : 5_000,
        });
    }

    private writeFile(content: unknown): string {
        this.files += 1;
        const path = join(this.directory, `${this.files}.json`);
        writeFileSync(path, JSON.stringify(content));
        return path;
    }
}
