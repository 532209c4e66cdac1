/**
 * A terminating tRPC link over one WebSocket. Unlike tRPC's `wsLink` it sends immediately, never reconnects and never
 * resends a call.
 */
import { validateValue } from "@lovagepitch/utils/validateValue";
import { TRPCClientError, type TRPCLink } from "@trpc/client";
import { observable } from "@trpc/server/observable";
import type { RawData, WebSocket } from "ws";
import { z } from "zod";
import type { FrameCodec } from "./frameCodec.js";
import { LinkError } from "./linkError.js";
import type { PeerRouter } from "./peerRouter.js";

const responseSchema = z.union([
    z.object({ id: z.number(), result: z.object({ type: z.literal("data"), data: z.unknown().optional() }) }),
    z.object({ id: z.number(), error: z.object({ message: z.string() }) }),
]);

type Response = z.infer<typeof responseSchema>;
type ResponseListener = (response: Response | LinkError) => void;

/** Sends calls over one open WebSocket and matches their responses. */
export class SocketLink {
    private readonly pending = new Map<number, ResponseListener>();

    /**
     * @param socket - connection to the peer
     * @param codec - encodes the frames
     * @param onMalformedFrame - called for each received frame that is not a response
     */
    public constructor(
        private readonly socket: WebSocket,
        private readonly codec: FrameCodec,
        private readonly onMalformedFrame: () => void,
    ) {
        socket.on("message", (data, isBinary) => this.handleFrame(data, isBinary));
        socket.on("close", () => this.rejectPending());
    }

    /**
     * Creates the link for a tRPC client.
     *
     * @returns the link
     */
    public createLink(): TRPCLink<PeerRouter> {
        return () => ({ op }) =>
            observable(observer => {
                const listener: ResponseListener = response => {
                    if (response instanceof LinkError) {
                        observer.error(TRPCClientError.from(response));
                        return;
                    }
                    if ("error" in response) {
                        const refusal = new LinkError("malformed", `the peer refused: ${response.error.message}`);
                        observer.error(TRPCClientError.from(refusal));
                        return;
                    }
                    observer.next({ result: response.result });
                    observer.complete();
                };
                try {
                    const frame = this.codec.encode({
                        id: op.id,
                        method: op.type,
                        params: { path: op.path, input: op.input },
                    });
                    this.socket.send(frame, () => undefined);
                    this.pending.set(op.id, listener);
                }
                catch (error) {
                    const message = error instanceof Error ? error.message : String(error);
                    observer.error(TRPCClientError.from(new LinkError("unsendable", message)));
                }
                return () => {
                    this.pending.delete(op.id);
                };
            });
    }

    private handleFrame(data: RawData, isBinary: boolean): void {
        const response = this.parseFrame(data, isBinary);
        if (response === undefined) {
            this.onMalformedFrame();
            return;
        }
        const listener = this.pending.get(response.id);
        this.pending.delete(response.id);
        listener?.(response);
    }

    private parseFrame(data: RawData, isBinary: boolean): Response | undefined {
        try {
            const frame = data as Buffer;
            return validateValue(responseSchema, this.codec.decode(isBinary ? frame : frame.toString()))
                .unwrapOr(undefined);
        }
        catch {
            return undefined;
        }
    }

    private rejectPending(): void {
        const listeners = [...this.pending.values()];
        this.pending.clear();
        for (const listener of listeners) {
            listener(new LinkError("connection-closed", "the connection ended before a reply arrived; send again"));
        }
    }
}
