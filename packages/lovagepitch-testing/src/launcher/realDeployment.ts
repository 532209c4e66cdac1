/**
 * Deployment of real processes on the loopback address: entries, agents, and stand-ins of the platform and of the
 * backend servers.
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
import { PortBlock } from "./portBlock.js";
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

/** Processes and settings of a deployment. */
export interface RealDeploymentOptions {
    /** Folder under `examples/` that the settings of the processes are derived from. */
    readonly example: "cooperative" | "association";
    /** Availability zone of each entry. */
    readonly entryZones: readonly string[];
    /** Availability zone of each agent. */
    readonly agentZones: readonly string[];
    /** Services that each backend server offers. */
    readonly services: readonly string[];
    /** Number of slots of each backend server. */
    readonly slots: number;
    /** Replaces the platform's base URL in the processes' settings, for example by a relay's; optional. */
    readonly relayPlatform?: (url: string) => Promise<string>;
}

/** Starts and stops the processes of a deployment. */
export class RealDeployment {
    /** Entries, in the order of the options. */
    public readonly entries: RealEntry[] = [];
    /** Agents, in the order of the options. */
    public readonly agents: RealAgent[] = [];
    /** Base URL of the platform's stand-in; empty before the start. */
    public platformUrl = "";
    private readonly launcher = new ProcessLauncher();
    private relayedPlatformUrl = "";
    private settingsFolder = "";
    private operatorFile = "";
    private reservedPorts: PortBlock | undefined;

    /**
     * @param options - processes and settings of the deployment
     */
    public constructor(private readonly options: RealDeploymentOptions) {}

    /**
     * Starts all processes, applies a manifest and waits until all processes are ready.
     *
     * @param manifestFile - path of the first manifest
     * @throws Error if a process does not become ready in time or the manifest is not accepted
     */
    public async start(manifestFile: string): Promise<void> {
        this.settingsFolder = await mkdtemp(join(tmpdir(), "lovagepitch-"));
        this.reservedPorts = await PortBlock.reserve();
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
     * Applies a manifest with the operator's command.
     *
     * @param file - path of the manifest
     * @param baseVersion - version that the change is based on; 0 for the first manifest
     * @param appliedBy - name of the operator
     * @returns the command's process after its exit
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
     * Runs an operator's command and waits for its exit.
     *
     * @param commandArguments - command line arguments
     * @returns the command's process; its `exit` is undefined if it still runs after the timeout
     */
    public async runCommand(commandArguments: readonly string[]): Promise<LaunchedProcess> {
        const command = this.launcher.startNode("command", commandProgram, commandArguments);
        await command.waitForExit(commandTimeoutMilliseconds);
        return command;
    }

    /**
     * Starts a new incarnation of an entry with the same settings.
     *
     * @param entry - entry whose process has exited
     */
    public restartEntry(entry: RealEntry): void {
        entry.process = this.launchEntry(entry.settingsFile);
    }

    /**
     * Starts a new incarnation of an agent with the same settings.
     *
     * @param agent - agent whose process has exited
     */
    public restartAgent(agent: RealAgent): void {
        agent.process = this.launchAgent(agent.settingsFile);
    }

    /**
     * Sets faults of the platform's stand-in.
     *
     * @param faults - faults to change, see `PlatformFaultSettings`
     */
    public async setPlatformFaults(faults: unknown): Promise<void> {
        await sendControl("PUT", `${this.platformUrl}/faults`, faults);
    }

    /**
     * Waits until all running entries and agents report that they are ready.
     *
     * @param timeoutMilliseconds - longest time to wait, in milliseconds
     * @throws Error that names the process that is not ready in time
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
     * Collects the task starts of all backend servers.
     *
     * @returns record for the checker, in the order of the start times
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
     * Writes the output of all processes to files, to explain a failed test.
     *
     * @param folder - folder to create and write to
     * @returns resolves when all files are written
     */
    public async writeOutputs(folder: string): Promise<void> {
        await this.launcher.writeOutputs(folder);
    }

    /**
     * Kills all processes and removes the settings files.
     *
     * @returns resolves when all processes have exited
     */
    public async stop(): Promise<void> {
        await this.launcher.stopAll();
        await this.reservedPorts?.release();
        if (this.settingsFolder !== "") {
            await rm(this.settingsFolder, { recursive: true, force: true });
        }
    }

    private get ports(): PortBlock {
        if (this.reservedPorts === undefined) {
            throw new Error("no ports are reserved; call start first");
        }
        return this.reservedPorts;
    }

    private async createEntry(position: number, availabilityZone: string): Promise<RealEntry> {
        const example = await this.readExample("entry.jsonc");
        const settings = loadEntrySettings(example, "entry.jsonc").unwrap();
        const port = this.ports.takePort();
        const callerPort = this.ports.takePort();
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
        const port = this.ports.takePort();
        const localPort = this.ports.takePort();
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
