/**
 * Simulated process of an entry.
 */
import type { EntryCore } from "@lovagepitch/entry/core/entryCore";
import type { CallerKey, EntryInput, HandoverOutcome, RequestId } from "@lovagepitch/entry/core/entryInput";
import type { EntryOutput, EntryResponse } from "@lovagepitch/entry/core/entryOutput";
import type { Incarnation, PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { EntryRegistration } from "@lovagepitch/types/registry";
import { createEntryCore } from "./cores.js";
import type { EntryPlacement } from "./deploymentSettings.js";
import type { HostContext } from "./hostContext.js";
import { ProcessHost } from "./processHost.js";

/** Delay before a failed write of the handover or of the registration is retried. */
const retryDelayMilliseconds = 500;

/** Receiver of an entry's responses to its callers. */
export abstract class ResponseSink {
    /**
     * Sends a response to the caller.
     *
     * @param request - id of the caller's request
     * @param response - response of the entry
     */
    public abstract respond(request: RequestId, response: EntryResponse): void;

    /**
     * Breaks all caller connections to an entry that has stopped.
     *
     * @param entry - the stopped entry
     */
    public abstract handleConnectionsLost(entry: EntryHost): void;
}

type ClaimOutput = Extract<EntryOutput, { readonly type: "claimKey" }>;

/** Runs the core of an entry and performs its outputs. */
export class EntryHost extends ProcessHost<EntryInput, EntryOutput, EntryCore> {
    private isStopping = false;
    private isHandingOver = false;

    /**
     * @param context - parts that all processes of the deployment share
     * @param address - address of the entry
     * @param placement - availability zone of the entry
     * @param responses - receives the responses to callers
     */
    public constructor(
        context: HostContext,
        address: PeerAddress,
        private readonly placement: EntryPlacement,
        private readonly responses: ResponseSink,
    ) {
        super(context, address, placement.availabilityZone, "entry");
    }

    /** Starts the graceful shutdown of the entry. */
    public stop(): void {
        if (this.state === "stopped" || this.isStopping) {
            return;
        }
        this.isStopping = true;
        this.context.record.gracefulShutdowns.push({
            process: this.name,
            worker: undefined,
            fromMilliseconds: this.context.clock.nowMilliseconds(),
            untilMilliseconds: undefined,
        });
        this.accept({ type: "stop" });
    }

    /** {@inheritDoc ProcessHost.acceptBatch} */
    public override acceptBatch(batch: PeerBatch): void {
        this.accept({ type: "peerBatch", batch });
    }

    /** {@inheritDoc ProcessHost.acceptUnreachable} */
    public override acceptUnreachable(address: PeerAddress): void {
        this.accept({ type: "peerUnreachable", address });
    }

    /** {@inheritDoc ProcessHost.createCore} */
    protected override createCore(): EntryCore {
        return createEntryCore(this.context, this.identity, this.placement);
    }

    /** {@inheritDoc ProcessHost.runStartup} */
    protected override runStartup(): void {
        this.isStopping = false;
        this.isHandingOver = false;
        this.register();
        this.readManifest();
        // A random first delay keeps processes that start together from polling at the same time.
        const firstPoll = this.context.random.nextFraction() * this.context.settings.intervals.manifestPoll;
        this.runLater(firstPoll, () => this.pollManifest());
        this.pollRegistry();
    }

    /** {@inheritDoc ProcessHost.handleExit} */
    protected override handleExit(): void {
        this.responses.handleConnectionsLost(this);
    }

    /** {@inheritDoc ProcessHost.performOutput} */
    protected override performOutput(output: EntryOutput): void {
        switch (output.type) {
            case "send":
                this.queueMessage(output);
                break;
            case "respond":
                this.responses.respond(output.request, output.response);
                break;
            case "claimKey":
                this.claimKey(output, true);
                break;
            case "readRegistry":
                this.readRegistry();
                break;
            case "readHandover":
                this.readHandover(output.kind, output.incarnation);
                break;
            case "readManifest":
                this.readManifest();
                break;
            case "decision":
                this.recordDecision(output.decision);
                break;
        }
    }

    /** {@inheritDoc ProcessHost.finishGracefulShutdown} */
    protected override finishGracefulShutdown(): void {
        const { core } = this;
        if (!this.isStopping || this.isHandingOver || core === undefined || !core.isDrained()) {
            return;
        }
        this.isHandingOver = true;
        this.writeHandover();
    }

    private writeHandover(): void {
        const handover = this.core?.createAnswersHandover();
        if (handover === undefined) {
            return;
        }
        const name = `answers/${this.identity.incarnation}`;
        this.context.platform.putHandover(
            name,
            handover,
            this.bindToIncarnation(reply => {
                if (reply === undefined) {
                    this.runLater(retryDelayMilliseconds, () => this.writeHandover());
                }
                else {
                    this.deregisterAndStop();
                }
            }),
        );
    }

    private deregisterAndStop(): void {
        this.context.platform.registerEntry(
            this.createRegistration("left"),
            this.bindToIncarnation(() => {
                if (this.core?.isDrained() === true) {
                    this.context.recordGracefulShutdownEnd(this.name);
                    this.crash();
                    return;
                }
                // New work arrived during the write, so the handover is written again after the next drain.
                this.isHandingOver = false;
            }),
        );
    }

    private createRegistration(state: EntryRegistration["state"]): EntryRegistration {
        return {
            ...this.identity,
            availabilityZone: this.availabilityZone,
            state,
            renewedAtMilliseconds: this.context.coreClock.nowMilliseconds(),
        };
    }

    private register(): void {
        this.context.platform.registerEntry(
            this.createRegistration("serving"),
            this.bindToIncarnation(reply => {
                const { registrationRenew } = this.context.settings.intervals;
                this.runLater(reply === undefined ? retryDelayMilliseconds : registrationRenew, () => {
                    if (!this.isHandingOver) {
                        this.register();
                    }
                });
            }),
        );
    }

    private pollManifest(): void {
        this.readManifest();
        this.runLater(this.context.settings.intervals.manifestPoll, () => this.pollManifest());
    }

    private pollRegistry(): void {
        this.readRegistry();
        this.runLater(this.context.settings.intervals.registryPoll, () => this.pollRegistry());
    }

    private readManifest(): void {
        this.context.platform.readManifest(this.bindToIncarnation(reply => {
            if (reply?.value !== undefined) {
                this.accept({ type: "manifestAccepted", manifest: reply.value });
            }
        }));
    }

    private readRegistry(): void {
        this.context.platform.readRegistry(this.bindToIncarnation(reply => {
            this.accept(
                reply === undefined
                    ? { type: "registryUnavailable" }
                    : { type: "registryRead", registry: reply.value },
            );
        }));
    }

    private readHandover(kind: "answers" | "ledger", incarnation: Incarnation): void {
        this.context.platform.readHandover(
            `${kind}/${incarnation}`,
            this.bindToIncarnation(reply => {
                const handover = reply?.value;
                let outcome: HandoverOutcome = { kind: reply === undefined ? "unavailable" : "absent" };
                if (handover !== undefined) {
                    outcome = "answers" in handover
                        ? { kind: "answers", handover }
                        : { kind: "ledger", handover };
                }
                this.accept({ type: "handoverRead", incarnation, outcome });
            }),
        );
    }

    private claimKey(output: ClaimOutput, mayRetry: boolean): void {
        const scope = formatKeyScope(output.key);
        const { submission, jobDigest } = output;
        this.context.platform.claimKey(
            scope,
            { submission, jobDigest },
            this.bindToIncarnation(reply => {
                if (reply === undefined) {
                    this.resolveLostClaim(output, mayRetry);
                }
                else {
                    this.acceptClaim(output.request, reply.value);
                }
            }),
        );
    }

    /** Reads the row back, since the unanswered write may have taken effect. */
    private resolveLostClaim(output: ClaimOutput, mayRetry: boolean): void {
        this.context.platform.readClaim(
            formatKeyScope(output.key),
            this.bindToIncarnation(reply => {
                if (reply?.value !== undefined) {
                    this.acceptClaim(output.request, reply.value);
                }
                else if (reply !== undefined && mayRetry) {
                    this.claimKey(output, false);
                }
                else {
                    this.accept({ type: "claimResolved", request: output.request, outcome: { kind: "unavailable" } });
                }
            }),
        );
    }

    private acceptClaim(
        request: RequestId,
        claim: { readonly submission: SubmissionKey; readonly jobDigest: string },
    ): void {
        this.accept({ type: "claimResolved", request, outcome: { kind: "bound", ...claim } });
    }
}

function formatKeyScope(key: CallerKey): string {
    return JSON.stringify([key.team, key.service, key.key]);
}
