/**
 * Benchmark of the links over loopback: batches per second, processor time per message and round-trip time, by
 * encoding, batch size and client. Both ends run in this process, so processor times are the sum of both ends.
 */
import type { PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import { SystemClock } from "@lovagepitch/utils/clock";
import { validateValue } from "@lovagepitch/utils/validateValue";
import { createTRPCClient, createWSClient, wsLink } from "@trpc/client";
import { WebSocket } from "ws";
import { type FrameCodec, JsonFrameCodec } from "./frameCodec.js";
import { defaultLinkLimits } from "./linkLimits.js";
import { MessagePackFrameCodec } from "./messagePackFrameCodec.js";
import { peerBatchSchema } from "./peerBatchSchema.js";
import { PeerLinks } from "./peerLinks.js";
import { peerPath } from "./peerListener.js";
import type { PeerRouter } from "./peerRouter.js";

const warmUpBatches = 2_000;
const measuredBatches = 10_000;
const batchSizes = [1, 8, 64];
const batchesInFlight = 16;
const microsecondsPerMillisecond = 1_000;

/** An encoding to measure. */
interface Variant {
    readonly name: string;
    readonly codec: FrameCodec;
}

const variants: readonly Variant[] = [
    { name: "JSON", codec: new JsonFrameCodec(defaultLinkLimits.maximumFrameBytes) },
    { name: "MessagePack, maps", codec: new MessagePackFrameCodec(false) },
    { name: "MessagePack, records", codec: new MessagePackFrameCodec(true) },
];

/** Creates a report of one finished task, the most frequent message. */
function createReport(index: number): PeerMessage {
    return {
        type: "reportTasks",
        submission: "s1.10.0.0.1-7001.0123456789abcdef.1z4.lq2k3j4h.a1.abcdefghijklmnopqrstuv",
        reports: [{
            index,
            report: { state: "succeeded", output: { accepted: true, balance: 12_345.67, reference: `entry-${index}` } },
        }],
        load: { slots: 8, runningTasks: 3, standingByTasks: 0, standByLimit: 2, suspect: false, leaving: false },
        offeredSlots: 1,
    };
}

function createMessages(size: number): readonly PeerMessage[] {
    return Array.from({ length: size }, (_item, index) => createReport(index));
}

async function createLinks(
    codec: FrameCodec,
    receive: (batch: PeerBatch, links: PeerLinks) => void,
): Promise<PeerLinks> {
    const links: PeerLinks = new PeerLinks({
        identity: { address: "127.0.0.1:0", incarnation: "0123456789abcdef" },
        role: "agent",
        address: "127.0.0.1",
        port: 0,
        clock: new SystemClock(),
        onBatch: batch => receive(batch, links),
        onPeerUnreachable: address => console.error(`${address} is unreachable`),
        getConfigurationVersion: () => 1,
        codec,
    });
    (await links.listen()).unwrap();
    return links;
}

function createReceiver(codec: FrameCodec): Promise<PeerLinks> {
    return createLinks(codec, (_batch, links) => setImmediate(() => links.send([])));
}

/** Sends batches, several in flight at a time, until the given number has been acknowledged. */
async function sendBatches(sender: PeerLinks, destination: string, size: number, batches: number): Promise<void> {
    const messages = createMessages(size).map(message => ({ destination, message }));
    const first = sender.counters.batchesSent;
    let sent = 0;
    while (sender.counters.batchesSent - first < batches) {
        while (sent < batches && sent - (sender.counters.batchesSent - first) < batchesInFlight) {
            sender.send(messages);
            sent += 1;
        }
        await new Promise(resolve => setImmediate(resolve));
    }
}

async function measureThroughput(variant: Variant, size: number): Promise<void> {
    const receiver = await createReceiver(variant.codec);
    const sender = await createLinks(variant.codec, () => undefined);
    // Messages queued before the connection is open are sent as one batch, so the connection is opened first.
    sender.send([{ destination: receiver.identity.address, message: { type: "ping" } }]);
    while (sender.counters.batchesSent === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    await sendBatches(sender, receiver.identity.address, size, warmUpBatches);
    const bytesBefore = sender.counters.bytesSent;
    const processorBefore = process.cpuUsage();
    const startedAt = performance.now();
    await sendBatches(sender, receiver.identity.address, size, measuredBatches);
    const seconds = (performance.now() - startedAt) / 1_000;
    const processor = process.cpuUsage(processorBefore);
    const messages = measuredBatches * size;
    console.log([
        variant.name,
        size,
        Math.round(measuredBatches / seconds),
        ((processor.user + processor.system) / messages).toFixed(1),
        Math.round((sender.counters.bytesSent - bytesBefore) / messages),
    ].join(" | "));
    await sender.close();
    await receiver.close();
}

/** Measures the round trip of one message at a time, with the project's link and with tRPC's `wsLink`. */
async function measureRoundTrip(): Promise<void> {
    const [json] = variants;
    const codec = json?.codec ?? new MessagePackFrameCodec(false);
    const receiver = await createReceiver(codec);
    const sender = await createLinks(codec, () => undefined);
    const destination = receiver.identity.address;
    const callProjectLink = async (): Promise<void> => sendBatches(sender, destination, 1, 1);
    const client = createWSClient({
        url: `ws://${destination}${peerPath}`,
        WebSocket: WebSocket as never,
    });
    const trpc = createTRPCClient<PeerRouter>({ links: [wsLink({ client })] });
    const batch: PeerBatch = {
        sender: sender.identity,
        role: "agent",
        configurationVersion: 1,
        messages: createMessages(1),
    };
    const callTrpcLink = async (): Promise<void> => {
        await trpc.deliver.mutate(batch);
    };
    for (const [name, call] of [["own link", callProjectLink], ["tRPC's wsLink", callTrpcLink]] as const) {
        for (let count = 0; count < warmUpBatches; count += 1) {
            await call();
        }
        const startedAt = performance.now();
        for (let count = 0; count < warmUpBatches; count += 1) {
            await call();
        }
        const mean = (performance.now() - startedAt) * microsecondsPerMillisecond / warmUpBatches;
        console.log(`${name} | ${mean.toFixed(0)}`);
    }
    await client.close();
    await sender.close();
    await receiver.close();
}

/** Measures the processor time of encoding, decoding and validating one batch, without a network. */
function measureEncoding(variant: Variant, size: number): string {
    const batch: PeerBatch = {
        sender: { address: "10.0.0.1:7001", incarnation: "0123456789abcdef" },
        role: "agent",
        configurationVersion: 1,
        messages: createMessages(size),
    };
    const frame = variant.codec.encode(batch);
    const decoded = variant.codec.decode(frame);
    const steps = [
        () => variant.codec.encode(batch),
        () => variant.codec.decode(frame),
        () => validateValue(peerBatchSchema, decoded),
    ];
    const times = steps.map(step => {
        for (let count = 0; count < warmUpBatches; count += 1) {
            step();
        }
        const before = process.cpuUsage();
        for (let count = 0; count < measuredBatches; count += 1) {
            step();
        }
        const processor = process.cpuUsage(before);
        return ((processor.user + processor.system) / measuredBatches / size).toFixed(2);
    });
    return [variant.name, size, ...times].join(" | ");
}

function measureEncodings(): readonly string[] {
    return variants.flatMap(variant => batchSizes.map(size => measureEncoding(variant, size)));
}

async function runLinkMeasurement(): Promise<void> {
    console.log("encoding | messages a batch | encode, us a message | decode | check");
    // The first pass warms up the just-in-time compiler for the second one, which is printed.
    measureEncodings();
    measureEncodings().forEach(line => console.log(line));
    console.log("encoding | messages a batch | batches a second | processor us a message, both ends | bytes a message");
    for (const variant of variants) {
        for (const size of batchSizes) {
            await measureThroughput(variant, size);
        }
    }
    console.log("client | round trip of one message, us");
    await measureRoundTrip();
}

await runLinkMeasurement();
