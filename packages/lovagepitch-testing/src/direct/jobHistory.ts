/**
 * What happened to each job, for the message of a test that fails.
 */
import type { AgentOutput } from "@lovagepitch/direct/agent/agentPorts";
import type { EntryOutput } from "@lovagepitch/direct/entry/entryPorts";
import type { RunIdentity } from "@lovagepitch/direct/model/frames";
import type { Clock } from "@lovagepitch/utils/clock";

/** Lines about each job, in their order. */
export class JobHistory {
    private readonly lines = new Map<string, string[]>();

    /**
     * @param clock - clock of the deployment
     */
    public constructor(private readonly clock: Clock) {}

    /**
     * Adds a line.
     *
     * @param job - id of the job
     * @param text - what happened
     */
    public add(job: string, text: string): void {
        const lines = this.lines.get(job) ?? [];
        lines.push(`${this.clock.nowMilliseconds()} ${text}`);
        this.lines.set(job, lines);
    }

    /**
     * Adds the orders that an entry sends, and its log lines about jobs.
     *
     * @param entry - index of the entry
     * @param output - output of its core
     */
    public addEntryOutput(entry: number, output: EntryOutput): void {
        if (output.kind === "frame") {
            const { sequence, starts, stops } = output.frame;
            const source = `entry ${entry} on connection ${output.connection}, frame ${sequence},`;
            this.addRuns(`${source} orders`, starts);
            this.addRuns(`${source} stops`, stops);
        }
        else if (output.kind === "log") {
            this.addLogLine(`entry ${entry}`, output);
        }
    }

    /**
     * Adds the ends and open runs that an agent reports, its orders to the worker, and its log lines about jobs.
     *
     * @param agent - index of the agent
     * @param output - output of its core
     */
    public addAgentOutput(agent: number, output: AgentOutput): void {
        const source = `agent ${agent}`;
        switch (output.kind) {
            case "frame":
                for (const ended of output.frame.ended) {
                    this.addRuns(`${source} to entry ${output.address} reports ${ended.end}`, [ended]);
                }
                return this.addRuns(`${source} to entry ${output.address} lists`, output.frame.openRuns ?? []);
            case "start":
                return this.addRuns(`${source} starts`, [output.order]);
            case "stop":
                return this.addRuns(`${source} stops`, [output.run]);
            case "log":
                return this.addLogLine(source, output);
            default:
        }
    }

    private addRuns(text: string, runs: readonly RunIdentity[]): void {
        runs.forEach(run => this.add(run.job, `${text} ${run.task}/${run.run}`));
    }

    private addLogLine(source: string, line: EntryOutput & { readonly kind: "log" }): void {
        if (typeof line.fields["job"] === "string") {
            this.add(line.fields["job"], `${source}: ${line.event} ${JSON.stringify(line.fields)}`);
        }
    }

    /**
     * Lists the lines about a job.
     *
     * @param job - id of the job
     * @returns the lines in their order
     */
    public list(job: string): readonly string[] {
        return this.lines.get(job) ?? [];
    }
}
