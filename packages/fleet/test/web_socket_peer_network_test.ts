/**
 * Peer links over WebSockets on loopback.
 */

import assert from "node:assert/strict";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as ws from "ws";
import * as fleet from "../src/mod.ts";
import * as sockets from "../src/peer_socket.ts";

const SECRET = "s".repeat(40);
const ECHO = fleet.createChannelName("test.echo");
const CALL_TIMEOUT_MILLISECONDS = 20_000;

type Direction = "forward" | "backward";

/** Forwards one port to another, and can stop one direction without closing connections. */
class Relay {
  readonly #stopped = new Set<Direction>();
  readonly #sockets: net.Socket[] = [];
  readonly #server: net.Server;

  constructor(getPort: () => number) {
    this.#server = net.createServer((client) => {
      const target = net.connect(getPort(), "127.0.0.1");
      this.#sockets.push(client, target);
      this.#forward(client, target, "forward");
      this.#forward(target, client, "backward");
    });
  }

  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  stopForwarding(direction: Direction): void {
    this.#stopped.add(direction);
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #forward(source: net.Socket, sink: net.Socket, direction: Direction): void {
    source.on("data", (data) => {
      if (!this.#stopped.has(direction)) {
        sink.write(data);
      }
    });
    source.on("error", () => sink.destroy());
    // A stopped direction does not forward the end of the stream either.
    source.on("close", () => {
      if (!this.#stopped.has(direction)) {
        sink.destroy();
      }
    });
  }
}

class TestVm {
  readonly metrics = new kernel.Metrics();
  readonly network: fleet.WebSocketPeerNetwork;
  readonly addresses = new Map<string, string>();

  constructor(name: string, secret = SECRET) {
    const self = {
      vm: model.createVmId(name),
      incarnation: model.createIncarnation(),
      dataCentre: model.createDataCentreId("north-1"),
    };
    this.network = new fleet.WebSocketPeerNetwork(self, {
      address: "127.0.0.1:0",
      secrets: { read: () => Promise.resolve(neverthrow.ok([secret])) },
      counters: new fleet.PeerCounters(this.metrics),
      logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "fleet"),
    });
    this.network.useDirectory({
      findAddress: (vm) => this.addresses.get(vm),
      isLatest: () => true,
    });
    this.network.handle(ECHO, (message) => message.payload);
  }

  async count(name: string, labels: Record<string, string> = {}): Promise<number> {
    const metric = await this.metrics.registry.getSingleMetric(name)?.get();
    const values = (metric?.values ?? []).filter((value) =>
      Object.entries(labels).every(([label, expected]) => value.labels[label] === expected)
    );
    return values.reduce((total, value) => total + value.value, 0);
  }
}

async function startPair(context: test.TestContext, secret = SECRET): Promise<[TestVm, TestVm]> {
  const left = new TestVm("vm-1");
  const right = new TestVm("vm-2", secret);
  await left.network.start();
  await right.network.start();
  left.addresses.set("vm-2", `127.0.0.1:${right.network.port}`);
  right.addresses.set("vm-1", `127.0.0.1:${left.network.port}`);
  context.after(async () => {
    await left.network.stop();
    await right.network.stop();
  });
  return [left, right];
}

function callEcho(from: TestVm, to: string, payload: unknown) {
  return from.network.call(model.createVmId(to), ECHO, payload, CALL_TIMEOUT_MILLISECONDS);
}

async function waitUntil(condition: () => Promise<boolean> | boolean): Promise<void> {
  while (!await condition()) {
    await kernel.sleep(20);
  }
}

test.describe("WebSocket peer network", () => {
  test.it("keeps one link when both VMs dial at once", async (context) => {
    const [left, right] = await startPair(context);
    const answers = await Promise.all([callEcho(left, "vm-2", "a"), callEcho(right, "vm-1", "b")]);
    assert.deepEqual(answers.map((answer) => answer._unsafeUnwrap()), ["a", "b"]);
    await waitUntil(() => left.network.openLinks === 1 && right.network.openLinks === 1);
    assert.equal((await callEcho(left, "vm-2", "c"))._unsafeUnwrap(), "c");
    assert.equal((await callEcho(right, "vm-1", "d"))._unsafeUnwrap(), "d");
    assert.equal(left.network.openLinks, 1);
  });

  test.it("opens no link on either side if the secrets differ", async (context) => {
    const [left, right] = await startPair(context, "x".repeat(40));
    assert.ok((await callEcho(left, "vm-2", "a")).isErr());
    const refused = "hemlockwalk_peer_handshakes_refused_total";
    assert.equal(await right.count(refused, { reason: "wrong_proof" }), 1);
    assert.equal(right.network.openLinks + left.network.openLinks, 0);
  });

  test.it("refuses too large frames, sent or received, and keeps working", async (context) => {
    const [left, right] = await startPair(context);
    const large = await callEcho(left, "vm-2", new Uint8Array(sockets.MAX_MESSAGE_BYTES));
    assert.equal(large._unsafeUnwrapErr().kind, "too_large");
    const client = new ws.WebSocket(`ws://127.0.0.1:${right.network.port}`);
    const closed = new Promise((resolve) => client.once("close", resolve));
    client.once("open", () => client.send(new Uint8Array(8_192)));
    await closed;
    assert.equal(
      await right.count("hemlockwalk_peer_drops_total", { reason: "too_large" }),
      1,
    );
    assert.equal((await callEcho(left, "vm-2", "b"))._unsafeUnwrap(), "b");
  });

  test.it("refuses frames while the queue is full, then accepts them again", async (context) => {
    const [left, right] = await startPair(context);
    assert.ok((await callEcho(left, "vm-2", 1)).isOk());
    const payload = new Uint8Array(sockets.MAX_MESSAGE_BYTES / 2);
    const results = Array.from(
      { length: 32 },
      () => left.network.send(right.network.self.vm, ECHO, payload),
    );
    const kinds = new Set(results.map((result) => result.isErr() ? result.error.kind : "queued"));
    assert.deepEqual(kinds, new Set(["queued", "queue_full"]));
    const drops = "hemlockwalk_peer_drops_total";
    const refused = results.filter((result) => result.isErr()).length;
    assert.equal(await left.count(drops, { reason: "queue_full" }), refused);
    await waitUntil(() => left.network.send(right.network.self.vm, ECHO, 2).isOk());
    assert.equal((await callEcho(left, "vm-2", 3))._unsafeUnwrap(), 3);
  });

  test.it("fails the pending calls when the peer stops", async (context) => {
    const [left, right] = await startPair(context);
    assert.ok((await callEcho(left, "vm-2", 1)).isOk());
    const silent = fleet.createChannelName("test.silent");
    const arrived = new Promise<void>((resolve) => {
      right.network.handle(silent, () => {
        resolve();
        return new Promise(() => {});
      });
    });
    const waiting = left.network.call(right.network.self.vm, silent, 1, CALL_TIMEOUT_MILLISECONDS);
    await arrived;
    await right.network.stop();
    assert.equal((await waiting)._unsafeUnwrapErr().kind, "failed");
    assert.equal(left.network.pendingCalls, 0);
  });

  for (const direction of ["forward", "backward"] as const) {
    test.it(`ends a link that fails ${direction} and opens a new one`, async (context) => {
      const [left, right] = await startPair(context);
      const relay = new Relay(() => right.network.port);
      await relay.start();
      context.after(() => relay.close());
      left.addresses.set("vm-2", `127.0.0.1:${relay.port}`);
      assert.ok((await callEcho(left, "vm-2", 1)).isOk());
      relay.stopForwarding(direction);
      // The VM that receives nothing keeps sending, so that the other one keeps receiving.
      const cutReceiver = direction === "forward" ? right : left;
      const cutSender = direction === "forward" ? left : right;
      const lost = [callEcho(left, "vm-2", 2), callEcho(right, "vm-1", 2)];
      left.addresses.set("vm-2", `127.0.0.1:${right.network.port}`);
      const ended = "hemlockwalk_peer_links_ended_total";
      await waitUntil(async () => {
        if (await cutReceiver.count(ended) === 0) {
          cutReceiver.network.send(cutSender.network.self.vm, ECHO, 3);
        }
        return await left.count(ended) === 1 && await right.count(ended) === 1;
      });
      // The VM that receives nothing ends a silent link; for the other one, nothing is
      // acknowledged.
      assert.equal(await cutReceiver.count(ended, { reason: "silent" }), 1);
      assert.equal(
        await cutSender.count(ended, { reason: "one_way" }) +
          await cutSender.count(ended, { reason: "closed_by_peer" }),
        1,
      );
      assert.ok((await Promise.all(lost)).every((result) => result.isErr()));
      assert.equal((await callEcho(left, "vm-2", 2))._unsafeUnwrap(), 2);
    });
  }
});
