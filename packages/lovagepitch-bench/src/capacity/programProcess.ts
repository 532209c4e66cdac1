/**
 * Programs of the product, run as processes that can be measured.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { type ProcessUsage, readPrivateBytes, readProcessUsage } from "./processUsage.js";

const packages = new URL("../../../", import.meta.url);

/** Paths of the programs, relative to the packages. */
export const programs = {
    cli: "lovagepitch-cli/dist/main.js",
    agent: "lovagepitch-agent/dist/main.js",
    hostedAgents: "lovagepitch-bench/dist/capacity/runHostedAgents.js",
    moduleLoad: "lovagepitch-bench/dist/capacity/runModuleLoad.js",
    backendServer: "lovagepitch-testing/dist/standIns/runBackendServer.js",
} as const;

const startLimitMilliseconds = 60_000;
const keptErrorLines = 20;

/** One running program. */
export class ProgramProcess {
    private readonly child: ChildProcess;
    private readonly errors: string[] = [];
    private readonly exited: Promise<number>;
    private readonly end = (): void => {
        this.child.kill("SIGKILL");
    };
    private readonly watchers = new Map<RegExp, (match: RegExpExecArray) => void>();

    /**
     * @param program - path relative to the packages
     * @param programArguments - its arguments
     * @param engineFlags - flags of Node.js
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
        process.once("exit", this.end);
        this.exited = new Promise(resolve => this.child.once("exit", code => resolve(code ?? 1)));
        createInterface({ input: this.child.stdout! }).on("line", line => this.watch(line));
        createInterface({ input: this.child.stderr! }).on("line", line => {
            this.errors.push(line);
            this.errors.splice(0, this.errors.length - keptErrorLines);
        });
    }

    /** Id of the process. */
    public get processId(): number {
        return this.child.pid!;
    }

    /** What the process has used so far. */
    public get usage(): ProcessUsage {
        return readProcessUsage(this.processId);
    }

    /** Memory that is not shared with other processes, in bytes. */
    public get privateBytes(): number {
        return readPrivateBytes(this.processId);
    }

    /** The last lines of its error stream. */
    public get lastErrors(): string {
        return this.errors.join("; ");
    }

    /**
     * Waits for a line of output.
     *
     * @param pattern - what it must match
     * @returns the match
     * @throws Error when the process ended first or the time passed
     */
    public async waitForLine(pattern: RegExp): Promise<RegExpExecArray> {
        return new Promise((resolve, reject) => {
            const fail = (reason: string): void => reject(new Error(`${this.program}: ${reason}: ${this.lastErrors}`));
            const timer = setTimeout(() => fail(`no line matched ${String(pattern)}`), startLimitMilliseconds);
            void this.exited.then(code => {
                clearTimeout(timer);
                fail(`ended with ${code}`);
            });
            this.watchers.set(pattern, match => {
                clearTimeout(timer);
                resolve(match);
            });
        });
    }

    /**
     * Waits for the end of the process.
     *
     * @returns its exit code
     */
    public waitForExit(): Promise<number> {
        return this.exited;
    }

    /**
     * Ends the process at once.
     *
     * @returns when it has ended
     */
    public async kill(): Promise<void> {
        this.end();
        await this.exited;
        process.off("exit", this.end);
    }

    private watch(line: string): void {
        for (const [pattern, use] of this.watchers) {
            const match = pattern.exec(line);
            if (match !== null) {
                this.watchers.delete(pattern);
                use(match);
            }
        }
    }
}
