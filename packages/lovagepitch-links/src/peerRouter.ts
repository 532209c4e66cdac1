/**
 * The tRPC router that every process serves to its peers.
 */
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import { initTRPC } from "@trpc/server";
import type { WebSocket } from "ws";

/** What a procedure knows of its call. */
export interface DeliveryContext {
    /** The connection that the call came on. */
    readonly socket: WebSocket;
}

/** Takes a checked batch; the reply carries the messages that the receiver has for the sender, if any. */
export type DeliverBatch = (batch: PeerBatch, socket: WebSocket) => Promise<PeerBatch | undefined>;

/** Checks a batch that arrived; throws when it is malformed. */
export type ParseBatch = (value: unknown) => PeerBatch;

/**
 * Makes the router with its single procedure `deliver`.
 *
 * @param parse - checks each batch
 * @param deliver - takes each batch
 * @returns the router
 */
// The return type is what tRPC infers; the client's types are derived from it.
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function createPeerRouter(parse: ParseBatch, deliver: DeliverBatch) {
    const builder = initTRPC.context<DeliveryContext>().create({ isDev: false });
    return builder.router({
        deliver: builder.procedure
            .input(parse)
            .mutation(({ input, ctx }) => deliver(input, ctx.socket)),
    });
}

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
