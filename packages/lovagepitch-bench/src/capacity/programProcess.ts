/**
 * Runs the project's programs as child processes that can be measured.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { type ProcessUsage, readPrivateBytes, readProcessUsage } from "./processUsage.js";

const packages = new URL("../../../", import.meta.url);

/** Paths of the programs, relative to the `packages` directory. */
export const programs = {
    cli: "lovagepitch-cli/dist/main.js",
    agent: "lovagepitch-agent/dist/main.js",
    hostedAgents: "lovagepitch-bench/dist/capacity/runHostedAgents.js",
    moduleLoad: "lovagepitch-bench/dist/capacity/runModuleLoad.js",
    backendServer: "lovagepitch-testing/dist/standIns/runBackendServer.js",
} as const;

const lineTimeoutMilliseconds = 60_000;
const maximumErrorLines = 20;

/** A program that runs as a child process. */
export class ProgramProcess {
    private readonly child: ChildProcess;
    private readonly errors: string[] = [];
    private readonly exited: Promise<number>;
    private readonly killChild = (): void => {
        this.child.kill("SIGKILL");
    };
    private readonly lineWatchers = new Map<RegExp, (match: RegExpExecArray) => void>();

    /**
     * @param program - path relative to the `packages` directory
     * @param programArguments - command-line arguments of the program
     * @param engineFlags - Node.js flags of the process
     */
    public constructor(
        private readonly program: string,
        programArguments: readonly string[],
        engineFlags: readonly string[] = [],
    ) {
        const path = fileURLToPath(new URL(program, packages));
        this.child = spawn(process.execPath, [...engineFlags, path, ...programArguments], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        process.once("exit", this.killChild);
        this.exited = new Promise(resolve => this.child.once("exit", code => resolve(code ?? 1)));
        createInterface({ input: this.child.stdout! }).on("line", line => this.matchLine(line));
        createInterface({ input: this.child.stderr! }).on("line", line => {
            this.errors.push(line);
            this.errors.splice(0, this.errors.length - maximumErrorLines);
        });
    }

    /** Operating system's id of the process. */
    public get processId(): number {
        return this.child.pid!;
    }

    /** Processor time since the start of the process, and its current memory. */
    public get usage(): ProcessUsage {
        return readProcessUsage(this.processId);
    }

    /** Anonymous memory, which is not shared with other processes, in bytes. */
    public get privateBytes(): number {
        return readPrivateBytes(this.processId);
    }

    /** The last lines of the standard error stream. */
    public get lastErrors(): string {
        return this.errors.join("; ");
    }

    /**
     * Waits for a line of the standard output that matches a pattern.
     *
     * @param pattern - pattern of the line
     * @returns the match in the first line that matches
     * @throws Error when the process exits first or no line matches in time
     */
    public async waitForLine(pattern: RegExp): Promise<RegExpExecArray> {
        return new Promise((resolve, reject) => {
            const fail = (reason: string): void => reject(new Error(`${this.program}: ${reason}: ${this.lastErrors}`));
            const timer = setTimeout(
                () => fail(`no output line matched ${String(pattern)} in time`),
                lineTimeoutMilliseconds,
            );
            void this.exited.then(code => {
                clearTimeout(timer);
                fail(`exited with code ${code}`);
            });
            this.lineWatchers.set(pattern, match => {
                clearTimeout(timer);
                resolve(match);
            });
        });
    }

    /**
     * Waits until the process exits.
     *
     * @returns the exit code
     */
    public waitForExit(): Promise<number> {
        return this.exited;
    }

    /**
     * Kills the process.
     *
     * @returns a promise that resolves when the process has exited
     */
    public async kill(): Promise<void> {
        this.killChild();
        await this.exited;
        process.off("exit", this.killChild);
    }

    private matchLine(line: string): void {
        for (const [pattern, resolveWait] of this.lineWatchers) {
            const match = pattern.exec(line);
            if (match !== null) {
                this.lineWatchers.delete(pattern);
                resolveWait(match);
            }
        }
    }
}
