/**
 * Starts, signals and kills real processes for tests and the demo. The product itself never starts a process.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";

const pollIntervalMilliseconds = 20;
const maximumKeptLines = 20_000;

/** A child process with its captured output. */
export class LaunchedProcess {
    private readonly keptLines: string[] = [];
    private exitStatus: number | NodeJS.Signals | undefined;

    /**
     * @param name - name of the process in error messages
     * @param child - the child process, with piped output streams
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

    /** Lines that the process wrote to stdout and stderr; the oldest lines are dropped when there are too many. */
    public get lines(): readonly string[] {
        return this.keptLines;
    }

    /** Id of the process; undefined when it could not be started. */
    public get processId(): number | undefined {
        return this.child.pid;
    }

    /** Exit code, or the signal that ended the process; undefined while it runs. */
    public get exit(): number | NodeJS.Signals | undefined {
        return this.exitStatus;
    }

    /**
     * Sends a signal to the process if it still runs.
     *
     * @param signal - SIGTERM for a graceful shutdown, SIGKILL to kill, SIGSTOP to freeze, SIGCONT to resume
     */
    public signal(signal: NodeJS.Signals): void {
        if (this.exitStatus === undefined) {
            this.child.kill(signal);
        }
    }

    /**
     * Waits for a line of output.
     *
     * @param pattern - pattern that the line must match; earlier lines are searched, too
     * @param timeoutMilliseconds - longest time to wait, in milliseconds
     * @returns the match
     * @throws Error if the process exits or the timeout expires first
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
                throw new Error(
                    `${this.name} printed no line that matches ${String(pattern)}; its last lines are:\n${tail}`,
                );
            }
            await sleep(pollIntervalMilliseconds);
        }
    }

    /**
     * Waits until the process exits.
     *
     * @param timeoutMilliseconds - longest time to wait, in milliseconds
     * @returns exit code or signal, or undefined if the process still runs
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

/** Starts child processes and kills all of them on request or when this process exits. */
export class ProcessLauncher {
    private readonly processes: LaunchedProcess[] = [];
    private readonly killAll = (): void => {
        for (const launched of this.processes) {
            launched.signal("SIGCONT");
            launched.signal("SIGKILL");
        }
    };

    /** Creates a launcher that kills its processes when this process exits. */
    public constructor() {
        process.once("exit", this.killAll);
    }

    /**
     * Starts a Node.js program.
     *
     * @param name - name of the process in error messages
     * @param program - path of the program
     * @param programArguments - command line arguments of the program
     * @param environment - environment variables in addition to those of this process
     * @param nodeOptions - options of Node.js
     * @returns the started process
     */
    public startNode(
        name: string,
        program: string,
        programArguments: readonly string[],
        environment: Readonly<Record<string, string>> = {},
        nodeOptions: readonly string[] = [],
    ): LaunchedProcess {
        const child = spawn(process.execPath, [...nodeOptions, program, ...programArguments], {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...environment },
        });
        const launched = new LaunchedProcess(name, child);
        this.processes.push(launched);
        return launched;
    }

    /**
     * Writes the kept output of every started process to files, one per process.
     *
     * @param folder - folder to create and write to
     * @returns resolves when all files are written
     */
    public async writeOutputs(folder: string): Promise<void> {
        await mkdir(folder, { recursive: true });
        await Promise.all(this.processes.map((launched, position) =>
            writeFile(
                join(folder, `${position}-${launched.name.replaceAll(" ", "-")}.log`),
                launched.lines.map(line => `${line}\n`).join(""),
            )
        ));
    }

    /**
     * Kills all started processes.
     *
     * @returns resolves when all have exited, or after 5000 ms
     */
    public async stopAll(): Promise<void> {
        this.killAll();
        process.off("exit", this.killAll);
        await Promise.all(this.processes.map(launched => launched.waitForExit(5000)));
    }
}
