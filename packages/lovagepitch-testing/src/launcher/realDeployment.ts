/**
 * A deployment of real processes on the loopback address: the platform's stand-in, entries, agents, backend servers.
 */
import { loadAgentSettings } from "@lovagepitch/configuration/loadAgentSettings";
import { loadEntrySettings } from "@lovagepitch/configuration/loadEntrySettings";
import { loadOperatorSettings } from "@lovagepitch/configuration/loadOperatorSettings";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { StartRecord } from "../checker/startRecord.js";
import { findFreePort } from "./findFreePort.js";
import { type LaunchedProcess, ProcessLauncher } from "./processLauncher.js";
import { readStarts, readStatus, type RealAgent, type RealEntry, sendControl } from "./realProcesses.js";

const workspace = fileURLToPath(new URL("../../../..", import.meta.url));
const commandProgram = join(workspace, "packages/lovagepitch-cli/dist/main.js");
const agentProgram = join(workspace, "packages/lovagepitch-agent/dist/main.js");
const platformProgram = fileURLToPath(new URL("../standIns/runPlatformServer.js", import.meta.url));
const backendServerProgram = fileURLToPath(new URL("../standIns/runBackendServer.js", import.meta.url));
const loopback = "127.0.0.1";
const startTimeoutMilliseconds = 20_000;
const commandTimeoutMilliseconds = 20_000;
const pollIntervalMilliseconds = 50;

/** What a deployment is made of. */
export interface RealDeploymentOptions {
    /** Folder of example settings that the processes' own are made from, under `examples/`. */
    readonly example: "cooperative" | "association";
    /** Zone of each entry. */
    readonly entryZones: readonly string[];
    /** Zone of each agent. */
    readonly agentZones: readonly string[];
    readonly services: readonly string[];
    readonly slots: number;
    /** Gives the base address at which processes find the platform, such as a relay's; its own when absent. */
    readonly relayPlatform?: (url: string) => Promise<string>;
}

/** Starts, finds and ends the processes. */
export class RealDeployment {
    /** Entries in the order of their zones. */
    public readonly entries: RealEntry[] = [];
    /** Agents in the order of their zones. */
    public readonly agents: RealAgent[] = [];
    /** Base address of the platform's stand-in. */
    public platformUrl = "";
    private readonly launcher = new ProcessLauncher();
    private relayedPlatformUrl = "";
    private settingsFolder = "";
    private operatorFile = "";

    /**
     * @param options - what to start
     */
    public constructor(private readonly options: RealDeploymentOptions) {}

    /**
     * Starts everything and waits until it serves.
     *
     * @param manifestFile - manifest to apply first
     * @throws Error when a process does not come up
     */
    public async start(manifestFile: string): Promise<void> {
        this.settingsFolder = await mkdtemp(join(tmpdir(), "lovagepitch-"));
        const platform = this.launcher.startNode("platform", platformProgram, ["--port", "0"]);
        const [, platformUrl] = await platform.waitForLine(/"url":"([^"]+)"/, startTimeoutMilliseconds);
        this.platformUrl = platformUrl ?? "";
        this.relayedPlatformUrl = await this.options.relayPlatform?.(this.platformUrl) ?? this.platformUrl;
        for (const [position, zone] of this.options.entryZones.entries()) {
            this.entries.push(await this.createEntry(position, zone));
        }
        await this.writeOperatorSettings();
        const applied = await this.applyManifest(manifestFile, 0);
        if (applied.exit !== 0) {
            throw new Error(`the manifest was not accepted:\n${applied.lines.join("\n")}`);
        }
        for (const [position, zone] of this.options.agentZones.entries()) {
            this.agents.push(await this.createAgent(position, zone));
        }
        await this.waitUntilReady();
    }

    /**
     * Applies a manifest by the operator's command.
     *
     * @param file - the manifest
     * @param baseVersion - version it is based on
     * @param appliedBy - name of the operator
     * @returns the command once it has ended
     */
    public async applyManifest(file: string, baseVersion: number, appliedBy = "operator"): Promise<LaunchedProcess> {
        return this.runCommand([
            "manifest",
            "apply",
            file,
            "--settings",
            this.operatorFile,
            "--base",
            String(baseVersion),
            "--applied-by",
            appliedBy,
        ]);
    }

    /**
     * Runs an operator's command to its end.
     *
     * @param commandArguments - its arguments
     * @returns the ended process
     */
    public async runCommand(commandArguments: readonly string[]): Promise<LaunchedProcess> {
        const command = this.launcher.startNode("command", commandProgram, commandArguments);
        await command.waitForExit(commandTimeoutMilliseconds);
        return command;
    }

    /**
     * Starts a new life of an entry with the same settings.
     *
     * @param entry - the entry, whose process has ended
     */
    public restartEntry(entry: RealEntry): void {
        entry.process = this.launchEntry(entry.settingsFile);
    }

    /**
     * Starts a new life of an agent with the same settings.
     *
     * @param agent - the agent, whose process has ended
     */
    public restartAgent(agent: RealAgent): void {
        agent.process = this.launchAgent(agent.settingsFile);
    }

    /**
     * Switches faults of the platform's stand-in.
     *
     * @param faults - the faults to change
     */
    public async setPlatformFaults(faults: unknown): Promise<void> {
        await sendControl("PUT", `${this.platformUrl}/faults`, faults);
    }

    /**
     * Waits until every process that runs serves.
     *
     * @param timeoutMilliseconds - longest time to wait
     * @throws Error that names the process that does not
     */
    public async waitUntilReady(timeoutMilliseconds = startTimeoutMilliseconds): Promise<void> {
        const endAt = Date.now() + timeoutMilliseconds;
        for (const { url, process } of [...this.entries, ...this.agents]) {
            while (process.exit === undefined && (await readStatus(url))?.ready !== true) {
                if (Date.now() > endAt) {
                    throw new Error(`${process.name} at ${url} is not ready:\n${process.lines.slice(-5).join("\n")}`);
                }
                await sleep(pollIntervalMilliseconds);
            }
        }
    }

    /**
     * Collects the starts of all backend servers.
     *
     * @returns the record for the checker, in order of time
     */
    public async collectStarts(): Promise<StartRecord> {
        const lists = await Promise.all(this.agents.map(readStarts));
        const record = new StartRecord();
        const all = lists.flat().sort((left, right) =>
            left.start.startedAtMilliseconds - right.start.startedAtMilliseconds
        );
        for (const { start, end } of all) {
            record.recordStart(start);
            if (end !== undefined) {
                record.recordEnd(start, end);
            }
        }
        return record;
    }

    /**
     * Ends every process and removes the settings.
     *
     * @returns when all have ended
     */
    public async stop(): Promise<void> {
        await this.launcher.stopAll();
        if (this.settingsFolder !== "") {
            await rm(this.settingsFolder, { recursive: true, force: true });
        }
    }

    private async createEntry(position: number, availabilityZone: string): Promise<RealEntry> {
        const example = await this.readExample("entry.jsonc");
        const settings = loadEntrySettings(example, "entry.jsonc").unwrap();
        const port = await findFreePort();
        const callerPort = await findFreePort();
        const settingsFile = await this.writeSettings(`entry-${position}.json`, {
            ...settings,
            address: loopback,
            port,
            callerPort,
            availabilityZone,
            platform: { ...settings.platform, url: this.relayedPlatformUrl },
        });
        return {
            availabilityZone,
            address: `${loopback}:${port}`,
            url: `http://${loopback}:${callerPort}`,
            settingsFile,
            process: this.launchEntry(settingsFile),
        };
    }

    private async createAgent(position: number, availabilityZone: string): Promise<RealAgent> {
        const example = await this.readExample("agent.jsonc");
        const settings = loadAgentSettings(example, "agent.jsonc").unwrap();
        const port = await findFreePort();
        const localPort = await findFreePort();
        const worker = `${availabilityZone}-worker-${position + 1}`;
        const url = `http://${loopback}:${localPort}`;
        const settingsFile = await this.writeSettings(`agent-${position}.json`, {
            ...settings,
            address: loopback,
            port,
            localPort,
            availabilityZone,
            worker,
            rack: `${availabilityZone}-rack-1`,
            platform: { ...settings.platform, url: this.relayedPlatformUrl },
        });
        const process = this.launchAgent(settingsFile);
        const backendServer = this.launchBackendServer(url, worker, availabilityZone);
        const [, backendServerUrl] = await backendServer.waitForLine(/"listening":"([^"]+)"/, startTimeoutMilliseconds);
        return {
            worker,
            availabilityZone,
            address: `${loopback}:${port}`,
            url,
            settingsFile,
            backendServerUrl: backendServerUrl ?? "",
            backendServer,
            process,
        };
    }

    private launchEntry(settingsFile: string): LaunchedProcess {
        return this.launcher.startNode("entry", commandProgram, ["entry", "--settings", settingsFile]);
    }

    private launchAgent(settingsFile: string): LaunchedProcess {
        return this.launcher.startNode("agent", agentProgram, ["--settings", settingsFile]);
    }

    private launchBackendServer(agentUrl: string, worker: string, availabilityZone: string): LaunchedProcess {
        const { services, slots } = this.options;
        const serverArguments = [
            ["--agent", agentUrl],
            ["--worker", worker],
            ["--availability-zone", availabilityZone],
            ["--services", services.join(",")],
            ["--slots", String(slots)],
        ];
        return this.launcher.startNode("backend server", backendServerProgram, serverArguments.flat());
    }

    private async writeOperatorSettings(): Promise<void> {
        const example = await this.readExample("operator.jsonc");
        const settings = loadOperatorSettings(example, "operator.jsonc").unwrap();
        this.operatorFile = await this.writeSettings("operator.json", {
            ...settings,
            platform: { ...settings.platform, url: this.platformUrl },
            entries: this.entries.map(entry => entry.url),
        });
    }

    private async readExample(name: string): Promise<string> {
        return readFile(join(workspace, "examples", this.options.example, name), "utf8");
    }

    private async writeSettings(name: string, settings: unknown): Promise<string> {
        const file = join(this.settingsFolder, name);
        await writeFile(file, JSON.stringify(settings, undefined, 4));
        return file;
    }
}
