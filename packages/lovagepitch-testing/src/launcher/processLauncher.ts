/**
 * Starts, signals and ends real processes for tests and the demo. The product itself never starts a process.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";

const pollIntervalMilliseconds = 20;
const maximumKeptLines = 20_000;

/** A process that this launcher started. */
export class LaunchedProcess {
    private readonly keptLines: string[] = [];
    private exitStatus: number | NodeJS.Signals | undefined;

    /**
     * @param name - name for messages
     * @param child - the process
     */
    public constructor(public readonly name: string, private readonly child: ChildProcess) {
        for (const stream of [child.stdout, child.stderr]) {
            if (stream !== null) {
                createInterface({ input: stream }).on("line", line => this.keepLine(line));
            }
        }
        child.on("error", error => this.keepLine(`cannot start: ${error.message}`));
        child.on("exit", (code, signal) => {
            this.exitStatus = signal ?? code ?? 0;
        });
    }

    /** What it wrote to its output and error streams, line by line; the oldest lines are dropped. */
    public get lines(): readonly string[] {
        return this.keptLines;
    }

    /** Exit code or the signal that ended it; undefined while it runs. */
    public get exit(): number | NodeJS.Signals | undefined {
        return this.exitStatus;
    }

    /**
     * Sends a signal.
     *
     * @param signal - SIGTERM for a planned stop, SIGKILL, SIGSTOP to freeze, SIGCONT to resume
     */
    public signal(signal: NodeJS.Signals): void {
        if (this.exitStatus === undefined) {
            this.child.kill(signal);
        }
    }

    /**
     * Waits for a line of output.
     *
     * @param pattern - what the line must match
     * @param timeoutMilliseconds - longest time to wait
     * @returns the match
     * @throws Error when the process ended or the time passed
     */
    public async waitForLine(pattern: RegExp, timeoutMilliseconds: number): Promise<RegExpExecArray> {
        const endAt = Date.now() + timeoutMilliseconds;
        for (;;) {
            for (const line of this.keptLines) {
                const match = pattern.exec(line);
                if (match !== null) {
                    return match;
                }
            }
            if (this.exitStatus !== undefined || Date.now() > endAt) {
                const tail = this.keptLines.slice(-10).join("\n");
                throw new Error(`${this.name} never printed ${String(pattern)}; it ended with ${tail}`);
            }
            await sleep(pollIntervalMilliseconds);
        }
    }

    /**
     * Waits for the end of the process.
     *
     * @param timeoutMilliseconds - longest time to wait
     * @returns exit code or signal, or undefined when it still runs
     */
    public async waitForExit(timeoutMilliseconds: number): Promise<number | NodeJS.Signals | undefined> {
        const endAt = Date.now() + timeoutMilliseconds;
        while (this.exitStatus === undefined && Date.now() < endAt) {
            await sleep(pollIntervalMilliseconds);
        }
        return this.exitStatus;
    }

    private keepLine(line: string): void {
        this.keptLines.push(line);
        if (this.keptLines.length > maximumKeptLines) {
            this.keptLines.splice(0, maximumKeptLines / 2);
        }
    }
}

/** Keeps hold of every process it started, so that all can be ended. */
export class ProcessLauncher {
    private readonly processes: LaunchedProcess[] = [];
    private readonly killAll = (): void => {
        for (const launched of this.processes) {
            launched.signal("SIGCONT");
            launched.signal("SIGKILL");
        }
    };

    /** Makes a launcher that ends its processes when this process ends. */
    public constructor() {
        process.once("exit", this.killAll);
    }

    /**
     * Starts a Node.js program.
     *
     * @param name - name for messages
     * @param program - path of the program
     * @param programArguments - its arguments
     * @param environment - variables beside those of this process
     * @returns the process
     */
    public startNode(
        name: string,
        program: string,
        programArguments: readonly string[],
        environment: Readonly<Record<string, string>> = {},
    ): LaunchedProcess {
        const child = spawn(process.execPath, [program, ...programArguments], {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...environment },
        });
        const launched = new LaunchedProcess(name, child);
        this.processes.push(launched);
        return launched;
    }

    /**
     * Ends every process at once.
     *
     * @returns when all have ended
     */
    public async stopAll(): Promise<void> {
        this.killAll();
        process.off("exit", this.killAll);
        await Promise.all(this.processes.map(launched => launched.waitForExit(5000)));
    }
}
