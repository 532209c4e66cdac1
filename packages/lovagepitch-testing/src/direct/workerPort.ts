/**
 * The way between agents and their workers, with the workers' faults.
 */
import type { AgentInput, AgentOutput, OrderOutcome } from "@lovagepitch/direct/agent/agentPorts";
import type { ViewOutcome, ViewRequest } from "@lovagepitch/direct/process/workerOrders";
import type { ManualClock } from "@lovagepitch/utils/clock";
import type { EventQueue } from "../harness/eventQueue.js";
import type { CoreHost } from "./coreHost.js";
import type { FakeWorker } from "./fakeWorker.js";
import { getAt } from "./getAt.js";

/** One way, in milliseconds. */
const linkLatencyMilliseconds = 1;

/** After this time without an answer an order counts as unanswered, in milliseconds. */
const orderTimeoutMilliseconds = 100;

/** Carries orders to workers and answers back. */
export class WorkerPort {
    /**
     * @param clock - the deployment's clock
     * @param queue - its events
     * @param workers - present life of each worker
     * @param agents - the agents' processes, in the same order
     * @param deliverInput - hands an input to an agent
     */
    public constructor(
        private readonly clock: ManualClock,
        private readonly queue: EventQueue,
        private readonly workers: readonly FakeWorker[],
        private readonly agents: readonly CoreHost<AgentInput, AgentOutput>[],
        private readonly deliverInput: (host: CoreHost<AgentInput, AgentOutput>, input: AgentInput) => void,
    ) {}

    /**
     * Carries an order.
     *
     * @param agent - number of the agent
     * @param workerId - the life that is meant
     * @param execute - what the worker does
     * @param createInput - makes the agent's input of the outcome
     */
    public sendOrder(
        agent: number,
        workerId: string,
        execute: (
            worker: FakeWorker,
        ) => "accepted" | "rejected" | "superseded" | "outdated-epoch" | "unknown" | "other-incarnation",
        createInput: (outcome: OrderOutcome) => AgentInput,
    ): void {
        const worker = getAt(this.workers, agent);
        const host = getAt(this.agents, agent);
        const { incarnation } = host;
        const respond = (outcome: OrderOutcome, delay: number): void => {
            this.queue.schedule(this.clock.nowMilliseconds() + delay, () => {
                if (host.incarnation === incarnation) {
                    this.deliverInput(host, createInput(outcome));
                }
            }, undefined);
        };
        const { faults } = worker;
        if (!worker.isUp || faults.isPartitioned) {
            respond("unknown", orderTimeoutMilliseconds);
            return;
        }
        if (worker.id !== workerId) {
            respond("other-incarnation", linkLatencyMilliseconds);
            return;
        }
        const delay = faults.orderDelayMilliseconds ?? linkLatencyMilliseconds;
        this.queue.schedule(this.clock.nowMilliseconds() + delay, () => {
            // Ends elsewhere that lie before this instant are noted first.
            this.workers.forEach(other => other.advance());
            const outcome = worker.isUp ? execute(worker) : "unknown";
            if (!faults.dropsResponses && faults.orderDelayMilliseconds === undefined) {
                respond(outcome, linkLatencyMilliseconds);
            }
        }, undefined);
        if (faults.dropsResponses || faults.orderDelayMilliseconds !== undefined) {
            respond("unknown", orderTimeoutMilliseconds);
        }
    }

    /**
     * Carries a request for a view.
     *
     * @param agent - number of the agent
     * @param call - number of the call
     * @param request - what is asked
     */
    public requestView(agent: number, call: number, request: ViewRequest): void {
        const worker = getAt(this.workers, agent);
        const host = getAt(this.agents, agent);
        const { incarnation } = host;
        const respond = (outcome: ViewOutcome): void => {
            if (host.incarnation === incarnation) {
                this.deliverInput(
                    host,
                    outcome.kind === "view"
                        ? { kind: "view", call, view: outcome.view }
                        : { kind: "view-failed", call, failure: outcome },
                );
            }
        };
        const deadline = this.clock.nowMilliseconds() + request.waitMilliseconds;
        const poll = (): void => {
            if (!worker.isUp || worker.faults.isPartitioned) {
                return;
            }
            if (
                worker.hasUnacknowledgedEnds(request.acknowledgedEndSequence)
                || this.clock.nowMilliseconds() >= deadline
            ) {
                const outcome = worker.view(request);
                this.schedule(linkLatencyMilliseconds, () => respond(outcome));
                return;
            }
            this.queue.schedule(this.clock.nowMilliseconds() + 2, poll, undefined);
        };
        if (worker.isUp && !worker.faults.isPartitioned && worker.id !== request.worker) {
            this.schedule(linkLatencyMilliseconds, () => respond({ kind: "other-incarnation" }));
            return;
        }
        if (worker.isUp && !worker.faults.isPartitioned) {
            // The lease is extended when the request arrives, the view is taken when the answer is given.
            worker.view({ ...request, acknowledgedEndSequence: request.acknowledgedEndSequence });
            this.schedule(linkLatencyMilliseconds, poll);
        }
        const timeoutMilliseconds = request.waitMilliseconds + orderTimeoutMilliseconds;
        this.queue.schedule(
            this.clock.nowMilliseconds() + timeoutMilliseconds,
            () => respond({ kind: "unknown" }),
            undefined,
        );
    }

    private schedule(delay: number, action: () => void): void {
        this.queue.schedule(this.clock.nowMilliseconds() + delay, action, undefined);
    }
}
