import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { SilentRelay } from "../launcher/silentRelay.js";

let echoServer: Server | undefined;
let relay: SilentRelay | undefined;
let firstConnection: Socket | undefined;

async function openConnection(): Promise<Socket> {
    const [host, port] = relay?.address.split(":") ?? [];
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    return socket;
}

async function echo(socket: Socket, word: string): Promise<string> {
    socket.write(word);
    const [chunk] = await once(socket, "data") as [Buffer];
    return chunk.toString("utf8");
}

Given("an echo server behind the silent relay", async () => {
    const server = createServer(socket => {
        socket.pipe(socket);
        socket.on("error", () => undefined);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    echoServer = server;
    relay = new SilentRelay(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    await relay.start();
});

When("a relayed connection has echoed {string}", async (word: string) => {
    firstConnection = await openConnection();
    assert.equal(await echo(firstConnection, word), word);
});

When("the silent relay stops forwarding on its open connections", () => {
    relay?.silence();
});

Then("the relayed connection stays open and echoes nothing of {string}", (word: string) => {
    firstConnection?.on("data", () => assert.fail("the silent connection echoed"));
    firstConnection?.write(word);
    assert.equal(firstConnection?.destroyed, false);
});

Then("a new relayed connection echoes {string}", async (word: string) => {
    const second = await openConnection();
    assert.equal(await echo(second, word), word);
    assert.equal(firstConnection?.destroyed, false);
    second.destroy();
});

After(() => {
    firstConnection?.destroy();
    relay?.stop();
    echoServer?.close();
    firstConnection = undefined;
    relay = undefined;
    echoServer = undefined;
});
