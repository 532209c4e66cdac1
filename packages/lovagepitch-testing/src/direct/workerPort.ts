/**
 * Simulated connections between agents and their workers, with the faults of the workers.
 */
import type { AgentInput, AgentOutput, OrderOutcome } from "@lovagepitch/direct/agent/agentPorts";
import type { ViewOutcome, ViewRequest } from "@lovagepitch/direct/process/workerOrders";
import type { ManualClock } from "@lovagepitch/utils/clock";
import type { EventQueue } from "../harness/eventQueue.js";
import type { CoreHost } from "./coreHost.js";
import type { FakeWorker } from "./fakeWorker.js";
import { getAt } from "./getAt.js";

/** One-way latency. */
const linkLatencyMilliseconds = 1;

/** Delay of a call that gets no response and is executed late. */
const lateCallDelayMilliseconds = 2500;

/** Delivers orders and view requests to workers, and their responses to the agents. */
export class WorkerPort {
    /**
     * @param clock - clock of the deployment
     * @param queue - event queue of the deployment
     * @param workers - current incarnation of each worker
     * @param agents - processes of the agents, in the same order
     * @param deliverInput - delivers an input to an agent
     */
    public constructor(
        private readonly clock: ManualClock,
        private readonly queue: EventQueue,
        private readonly workers: readonly FakeWorker[],
        private readonly agents: readonly CoreHost<AgentInput, AgentOutput>[],
        private readonly deliverInput: (host: CoreHost<AgentInput, AgentOutput>, input: AgentInput) => void,
    ) {}

    /**
     * Sends an agent's start or stop order to its worker.
     *
     * @param agent - index of the agent
     * @param output - order of the agent's core
     */
    public perform(agent: number, output: AgentOutput & { readonly kind: "start" | "stop" }): void {
        if (output.kind === "start") {
            const { order, run, life } = output;
            this.sendOrder(
                agent,
                output,
                (target, isOfFormerLife, lateMilliseconds) => {
                    const addedMilliseconds = target.faults.lateStartsCountFromArrival ? lateMilliseconds : 0;
                    const latestStart = output.latestStart + addedMilliseconds;
                    return target.start({ ...order, ...run }, output.epoch, latestStart, isOfFormerLife);
                },
                outcome => ({ kind: "start-answered", life, run, outcome }),
            );
        }
        else {
            const { run, life } = output;
            this.sendOrder(
                agent,
                output,
                target => target.stop(run, output.epoch),
                outcome => ({ kind: "stop-answered", life, run, outcome }),
            );
        }
    }

    /**
     * Sends an order to a worker.
     *
     * @param agent - index of the agent
     * @param order - names the incarnation that the order is for, its kind and its timeout
     * @param execute - executes the order at the worker
     * @param createInput - converts the outcome to an input of the agent
     */
    private sendOrder(
        agent: number,
        order: Pick<AgentOutput & { readonly kind: "start" | "stop" }, "kind" | "worker" | "timeoutMilliseconds">,
        execute: (
            worker: FakeWorker,
            isOfFormerLife: boolean,
            lateMilliseconds: number,
        ) => OrderOutcome,
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
            respond("unknown", order.timeoutMilliseconds);
            return;
        }
        if (faults.refusesConnections) {
            respond("unknown", linkLatencyMilliseconds);
            return;
        }
        if (worker.id !== order.worker) {
            respond("other-incarnation", linkLatencyMilliseconds);
            return;
        }
        const lateMilliseconds = (order.kind === "stop" ? faults.stopDelayMilliseconds : undefined)
            ?? faults.orderDelayMilliseconds
            ?? (worker.isNextCallLate() ? lateCallDelayMilliseconds : undefined);
        const delay = lateMilliseconds ?? linkLatencyMilliseconds;
        this.queue.schedule(this.clock.nowMilliseconds() + delay, () => {
            // Records the earlier ends at all workers before this order takes effect.
            this.workers.forEach(other => other.advance());
            // A worker that has restarted under its id meanwhile executes the order too.
            const current = getAt(this.workers, agent);
            const outcome = current.isUp && current.id === worker.id
                ? execute(current, current !== worker, lateMilliseconds ?? 0)
                : "unknown";
            if (!faults.dropsResponses && lateMilliseconds === undefined) {
                respond(outcome, linkLatencyMilliseconds);
            }
        }, undefined);
        if (faults.dropsResponses || lateMilliseconds !== undefined) {
            respond("unknown", order.timeoutMilliseconds);
        }
    }

    /**
     * Sends a request for the worker's view.
     *
     * @param agent - index of the agent
     * @param call - number of the call, returned with the response
     * @param request - epoch, lease extension, acknowledged ends and longest wait
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
            if (worker.faults.isPartitioned) {
                return;
            }
            const hasEnds = worker.hasUnacknowledgedEnds(request.acknowledgedEndSequence);
            if (!worker.isUp || worker.faults.refusesConnections) {
                respond({ kind: "unknown" });
                return;
            }
            if (
                hasEnds
                || this.clock.nowMilliseconds() >= deadline
            ) {
                const outcome = worker.view(request);
                this.schedule(linkLatencyMilliseconds, () => respond(outcome));
                return;
            }
            this.queue.schedule(this.clock.nowMilliseconds() + 2, poll, undefined);
        };
        if (!worker.faults.isPartitioned && (!worker.isUp || worker.faults.refusesConnections)) {
            this.schedule(linkLatencyMilliseconds, () => respond({ kind: "refused" }));
            return;
        }
        if (!worker.faults.isPartitioned && worker.id !== request.worker) {
            this.schedule(linkLatencyMilliseconds, () => respond({ kind: "other-incarnation" }));
            return;
        }
        if (worker.isNextCallLate()) {
            this.schedule(lateCallDelayMilliseconds, () => {
                const current = getAt(this.workers, agent);
                const addedMilliseconds = worker.faults.lateViewsCountFromArrival ? lateCallDelayMilliseconds : 0;
                const leaseExpiresAt = request.leaseExpiresAt === undefined
                    ? undefined
                    : request.leaseExpiresAt + addedMilliseconds;
                (current.id === worker.id ? current : worker).view({ ...request, leaseExpiresAt });
            });
        }
        else if (worker.isUp && !worker.faults.isPartitioned) {
            // The lease is extended when the request arrives; the view is taken when the worker responds.
            worker.view({ ...request, acknowledgedEndSequence: request.acknowledgedEndSequence });
            this.schedule(linkLatencyMilliseconds, poll);
        }
        this.schedule(request.timeoutMilliseconds, () => respond({ kind: "unknown" }));
    }

    private schedule(delay: number, action: () => void): void {
        this.queue.schedule(this.clock.nowMilliseconds() + delay, action, undefined);
    }
}
