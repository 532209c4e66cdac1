/**
 * The tRPC router that every process serves to its peers.
 */
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import { initTRPC } from "@trpc/server";
import type { WebSocket } from "ws";

/** Context that tRPC passes to the handler of each call. */
export interface DeliveryContext {
    /** Connection on which the call arrived. */
    readonly socket: WebSocket;
}

/** Handles a valid batch; the reply contains the receiver's messages to the sender, if any. */
export type DeliverBatch = (batch: PeerBatch, socket: WebSocket) => Promise<PeerBatch | undefined>;

/** Validates a received batch; throws when it is malformed. */
export type ParseBatch = (value: unknown) => PeerBatch;

/**
 * Creates the router with its single procedure `deliver`.
 *
 * @param parse - validates each received batch
 * @param deliver - handles each valid batch
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
