/**
 * Tests of the mesh with several VMs in one process, over loopback.
 */

import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as msgpackr from "msgpackr";
import * as ws from "ws";
import type * as types from "../src/types.ts";

/** Longest time for an update to reach all VMs; loss of a relay is detected within two seconds. */
const PROPAGATION_TIMEOUT_MILLISECONDS = 6_000;

/** Time for which messages are counted. */
const COUNTED_MILLISECONDS = 1_000;

/** Delay for which the mesh collects the changes of an urgent report. */
const URGENT_DELAY_MILLISECONDS = 10;

interface TestVm {
  /** State with a digest: the latest version, and how often its snapshot was sent. */
  readonly versions: { latest: number; snapshotsSent: number };
  readonly mesh: mesh.Mesh;
  readonly received: Map<string, unknown>;
  readonly knownWords: Set<string>;
  value: string | undefined;
}

async function createVm(
  name: string,
  dataCentre: string,
  port: number,
  seeds: readonly string[],
  capacity = 5,
): Promise<TestVm> {
  const received = new Map<string, unknown>();
  const knownWords = new Set<string>();
  const versions = { latest: 0, snapshotsSent: 0 };
  const vm: TestVm = {
    versions,
    received,
    knownWords,
    value: undefined,
    mesh: new mesh.Mesh({
      self: {
        vm: model.createVmId(name),
        incarnation: model.createIncarnation(),
        dataCentre: model.createDataCentreId(dataCentre),
        address: `127.0.0.1:${port}`,
        tag: port,
        capacity,
      },
      listSeeds: () => seeds,
      logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "mesh"),
    }),
  };
  vm.mesh.addSection("values", {
    collect: () => {
      const { value } = vm;
      vm.value = undefined;
      return value;
    },
    receive: (from, payload) => received.set(from.vm, payload),
  });
  vm.mesh.addReplicatedState("words", {
    createSnapshot: () => [...knownWords],
    receive: (payload) => {
      const words = payload as string[];
      const isNew = words.some((word) => !knownWords.has(word));
      words.forEach((word) => knownWords.add(word));
      return isNew;
    },
  });
  vm.mesh.addReplicatedState("versions", {
    digest: { get: () => versions.latest, isBehind: (other: number) => other > versions.latest },
    createSnapshot: () => {
      versions.snapshotsSent++;
      return versions.latest;
    },
    receive: (payload) => {
      const isNew = Number(payload) > versions.latest;
      versions.latest = Math.max(versions.latest, Number(payload));
      return isNew;
    },
  });
  await vm.mesh.start();
  return vm;
}

function waitFor(condition: () => boolean, what: string): Promise<void> {
  return kernelTesting.waitFor(condition, what, PROPAGATION_TIMEOUT_MILLISECONDS);
}

async function withFleet(
  run: (fleet: TestVm[]) => Promise<void>,
  dataCentres = ["north", "north", "north", "south", "south"],
): Promise<void> {
  const ports = await Promise.all(dataCentres.map(() => kernelTesting.claimPort()));
  // One seed is out of date: nothing listens at its address.
  const seeds = [`127.0.0.1:${await kernelTesting.claimPort()}`, `127.0.0.1:${ports[1]}`];
  const fleet: TestVm[] = [];
  try {
    for (const [index, dataCentre] of dataCentres.entries()) {
      fleet.push(await createVm(`vm-${index}`, dataCentre, ports[index] ?? 0, seeds));
    }
    await waitFor(
      () => fleet.every((vm) => vm.mesh.size === dataCentres.length),
      "every VM tracks all others",
    );
    await run(fleet);
  } finally {
    fleet.forEach((vm) => vm.mesh.stop());
  }
}

async function expectReport(from: TestVm, others: readonly TestVm[], value: string): Promise<void> {
  await waitFor(() => {
    // A report is not repeated, so one that is sent while links change may be lost.
    from.value = value;
    return others.every((vm) => vm.received.get(from.mesh.self.vm) === value);
  }, `the report '${value}' of ${from.mesh.self.vm}`);
}

test.describe("mesh", { concurrency: false }, () => {
  test.test("a report of any VM reaches the VMs of all data centres", async () => {
    await withFleet(async (fleet) => {
      for (const vm of fleet) {
        await expectReport(vm, fleet.filter((other) => other !== vm), `from ${vm.mesh.self.vm}`);
      }
    });
  });

  test.test("a request to the relay reaches another VM, or a relay that leaves answers", async () => {
    await withFleet(async (fleet) => {
      const [relay, asking, other] = fleet;
      assert.ok(relay !== undefined && asking !== undefined && other !== undefined);
      const requests: string[] = [];
      const responses: string[] = [];
      for (const { mesh: vmMesh } of fleet) {
        vmMesh.addRelayExchange("words", {
          receiveRequest: (from, payload) => {
            requests.push(`${from.vm} to ${vmMesh.self.vm}: ${String(payload)}`);
            return "response";
          },
          receiveResponse: (from, payload) => responses.push(`${from.vm}: ${String(payload)}`),
        });
      }
      await waitFor(
        () => [asking, other].every((vm) => vm.mesh.upstreamRelay?.vm === relay.mesh.self.vm),
        "both hear the others through the first VM",
      );
      assert.equal(relay.mesh.upstreamRelay, undefined);
      asking.mesh.sendToRelay("words", "request");
      relay.mesh.sendToRelay("words", "no relay");
      await waitFor(() => responses.length > 0, "the response");
      assert.deepEqual(requests, ["vm-1 to vm-0: request"]);
      assert.deepEqual(responses, ["vm-0: response"]);
      relay.mesh.drain();
      asking.mesh.sendToRelay("words", "late");
      await expectReport(asking, [other], "after the late request");
      assert.equal(requests.some((text) => text.startsWith("vm-1 to vm-0: late")), false);
    });
  });

  test.test("bridges between data centres are compressed, subscriptions are not", async () => {
    await withFleet(async (fleet) => {
      const listRoles = (role: types.LinkRole) =>
        fleet.flatMap((vm) => vm.mesh.listLinks()).filter((link) => link.role === role);
      await waitFor(
        () => listRoles("bridge").length === 2 && listRoles("subscription").length === 6,
        "relays are bridged and subscribed to from both ends",
      );
      assert.ok(listRoles("bridge").every(({ isCompressed }) => isCompressed));
      assert.ok(listRoles("subscription").every(({ isCompressed }) => !isCompressed));
    });
  });

  test.test("a subscription to a seed stays compressed, as its data centre was unknown when it was dialled", async () => {
    const seed = await createVm("vm-seed", "north", await kernelTesting.claimPort(), [], 10);
    const seeds = [seed.mesh.self.address];
    const member = await createVm("vm-a", "north", await kernelTesting.claimPort(), seeds);
    try {
      await waitFor(() => {
        const [link, ...others] = member.mesh.listLinks();
        return link?.role === "subscription" && !link.isCompressed && others.length === 0;
      }, "an uncompressed subscription");
      assert.equal(member.mesh.rankOwnDataCentre()[0]?.vm, seed.mesh.self.vm);
      await expectReport(seed, [member], "from the seed");
      await expectReport(member, [seed], "to the seed");
    } finally {
      member.mesh.stop();
      seed.mesh.stop();
    }
  });

  test.test("a VM takes a member for unreachable after closing the link to it itself", async () => {
    const seed = await createVm("vm-seed", "north", await kernelTesting.claimPort(), [], 10);
    const seeds = [seed.mesh.self.address];
    const relay = await createVm("vm-a", "south", await kernelTesting.claimPort(), seeds, 10);
    const member = await createVm("vm-b", "south", await kernelTesting.claimPort(), seeds);
    try {
      await waitFor(() => member.mesh.size === 3, "the member tracks both");
      await waitFor(
        () => member.mesh.listLinks().every(({ peer }) => peer.vm === relay.mesh.self.vm),
        "the link to the seed is closed",
      );
      // Long enough for the event of the closed socket.
      await kernel.sleep(100);
      const ranked = member.mesh.rankRelays().map(({ vm }) => vm);
      assert.deepEqual(ranked, [seed.mesh.self.vm, relay.mesh.self.vm]);
    } finally {
      member.mesh.stop();
      relay.mesh.stop();
      seed.mesh.stop();
    }
  });

  test.test("a start at an address in use neither succeeds nor fails", async () => {
    const port = await kernelTesting.claimPort();
    const occupant = net.createServer();
    await new Promise<void>((resolve) => occupant.listen(port, "127.0.0.1", resolve));
    try {
      await assert.rejects(createVm("vm-late", "north", port, []), { code: "EADDRINUSE" });
    } finally {
      occupant.close();
    }
  });

  test.test("a VM that has stopped dials other VMs", async () => {
    await withFleet(async (fleet) => {
      const port = await kernelTesting.claimPort();
      const seeds = fleet.slice(0, 1).map((vm) => vm.mesh.self.address);
      const stopping = await createVm("vm-stopping", "north", port, seeds, 1);
      await waitFor(
        () => stopping.mesh.size === 4 && stopping.mesh.listLinks().length === 2,
        "links to the two highest-ranked VMs",
      );
      stopping.mesh.stop();
      // Long enough for a dial and its hello.
      await kernel.sleep(300);
      const links = [stopping, ...fleet].flatMap((vm) => vm.mesh.listLinks());
      assert.deepEqual(links.filter(({ peer }) => peer.vm === "vm-stopping"), []);
      assert.deepEqual(stopping.mesh.listLinks(), []);
    }, ["north", "north", "north"]);
  });

  test.test("an urgent report is confirmed to its VM, and a VM without a relay is out of contact", async () => {
    await withFleet(async (fleet) => {
      const [relay, member] = fleet;
      assert.ok(relay !== undefined && member !== undefined);
      await waitFor(
        () => member.mesh.countInContact() === fleet.length,
        "the member is subscribed",
      );
      const before = member.mesh.confirmedSequence;
      member.value = "urgent";
      member.mesh.reportSoon();
      await waitFor(() => member.mesh.confirmedSequence > before, "the report is confirmed");
      fleet.filter((vm) => vm !== member).forEach((vm) => vm.mesh.stop());
      await waitFor(() => member.mesh.countInContact() === 1, "the member is alone");
    });
  });

  // Guards against VMs that take a lost data centre for reachable until its members expire.
  test.test("a VM that does not relay notices that another data centre is silent", async () => {
    await withFleet(async (fleet) => {
      const member = fleet[2] ?? assert.fail();
      await waitFor(() => member.mesh.countInContact() === fleet.length, "all are in contact");
      await kernel.sleep(2_000);
      assert.equal(member.mesh.countInContact(), fleet.length, "no report is due yet");
      fleet.slice(3).forEach((vm) => vm.mesh.stop());
      await waitFor(() => member.mesh.countInContact() === 3, "the loss is noticed");
      assert.equal(member.mesh.size, fleet.length, "before the members expire");
    });
  });

  test.test("reports reach all VMs after both relays have stopped", async () => {
    await withFleet(async (fleet) => {
      const [firstNorth, , , firstSouth] = fleet;
      firstNorth?.mesh.stop();
      firstSouth?.mesh.stop();
      const remaining = fleet.filter((vm) => vm !== firstNorth && vm !== firstSouth);
      await waitFor(
        () => remaining.every((vm) => vm.mesh.size === remaining.length),
        "they are removed",
      );
      for (const vm of remaining) {
        await expectReport(
          vm,
          remaining.filter((other) => other !== vm),
          `later ${vm.mesh.self.vm}`,
        );
      }
    });
  });

  test.test("a VM that leaves is removed at once and not added again by late reports", async () => {
    await withFleet(async (fleet) => {
      const leaving = fleet[2] ?? assert.fail();
      const remaining = fleet.filter((vm) => vm !== leaving);
      leaving.mesh.drain();
      await waitFor(
        () => remaining.every((vm) => vm.mesh.size === remaining.length),
        "the VM is removed",
      );
      leaving.mesh.stop();
    });
  });

  test.test("an update reaches all VMs, and a VM that joins later gets a snapshot", async () => {
    await withFleet(async (fleet) => {
      const [first, seed] = fleet;
      first?.knownWords.add("one");
      first?.mesh.publish("words", ["one"]);
      await waitFor(() => fleet.every((vm) => vm.knownWords.has("one")), "the update");
      const late = await createVm("vm-late", "south", await kernelTesting.claimPort(), [
        seed?.mesh.self.address ?? "",
      ]);
      try {
        await waitFor(() => late.knownWords.has("one"), "the update at the VM that joined later");
      } finally {
        late.mesh.stop();
      }
    });
  });

  test.test("a VM that joins later is sent a large state once", async () => {
    await withFleet(async (fleet) => {
      const [first] = fleet;
      assert.ok(first !== undefined);
      first.versions.latest = 7;
      first.mesh.publish("versions", 7);
      await waitFor(() => fleet.every((vm) => vm.versions.latest === 7), "the version");
      const seeds = fleet.slice(0, 4).map((vm) => vm.mesh.self.address);
      const port = await kernelTesting.claimPort();
      const before = fleet.reduce((sum, vm) => sum + vm.versions.snapshotsSent, 0);
      const late = await createVm("vm-late", "south", port, seeds);
      try {
        await waitFor(() => late.versions.latest === 7, "the version at the VM that joined later");
        assert.equal(late.mesh.isAwaitingSnapshots, false);
        // Long enough for any other VM to be asked too.
        await kernel.sleep(500);
        const sent = fleet.reduce((sum, vm) => sum + vm.versions.snapshotsSent, 0) - before;
        assert.equal(sent, 1);
      } finally {
        late.mesh.stop();
      }
    });
  });

  test.test("the state of a joining VM reaches all VMs in few snapshots", async () => {
    await withFleet(async (fleet) => {
      const port = await kernelTesting.claimPort();
      const joining = await createVm("vm-joining", "south", port, [
        fleet[0]?.mesh.self.address ?? "",
      ]);
      joining.versions.latest = 8;
      try {
        await waitFor(() => fleet.every((vm) => vm.versions.latest === 8), "the version");
        await kernel.sleep(300);
        const sent = [...fleet, joining].reduce((sum, vm) => sum + vm.versions.snapshotsSent, 0);
        // Each VM that lacked it requested it once, or twice while another VM was still responding.
        assert.ok(sent >= fleet.length && sent <= 2 * fleet.length, `sent ${sent} times`);
      } finally {
        joining.mesh.stop();
      }
    });
  });

  test.test("another VM is asked when the first does not respond", async () => {
    const silentPort = await kernelTesting.claimPort();
    const silent = new ws.WebSocketServer({ host: "127.0.0.1", port: silentPort });
    silent.on("connection", (socket) => {
      const identity = {
        vm: "vm-silent",
        incarnation: "zz",
        dataCentre: "north",
        address: `127.0.0.1:${silentPort}`,
        tag: 1,
        capacity: 9,
      };
      const hello = { kind: "hello", identity, members: [], feeds: {}, marks: { versions: 9 } };
      socket.send(msgpackr.pack(hello));
    });
    const port = await kernelTesting.claimPort();
    const holder = await createVm("vm-holder", "south", port, []);
    holder.versions.latest = 9;
    const late = await createVm("vm-late", "north", await kernelTesting.claimPort(), [
      `127.0.0.1:${silentPort}`,
      holder.mesh.self.address,
    ]);
    try {
      await waitFor(() => late.versions.latest === 9, "the version from the second VM");
    } finally {
      late.mesh.stop();
      holder.mesh.stop();
      silent.close();
      silent.clients.forEach((client) => client.terminate());
    }
  });

  test.test("an update that is published while a link is being opened is not lost", async () => {
    const listener = await createVm("vm-listener", "north", await kernelTesting.claimPort(), []);
    const { address } = listener.mesh.self;
    const dialling = await createVm("vm-dialling", "north", await kernelTesting.claimPort(), [
      address,
    ]);
    try {
      // The hello of the dialling VM is in transit or not sent yet. The word must arrive anyway.
      for (let word = 0; !listener.mesh.isLinked; word++) {
        dialling.knownWords.add(`word-${word}`);
        dialling.mesh.publish("words", [`word-${word}`]);
        await new Promise(setImmediate);
      }
      await waitFor(() => listener.knownWords.size === dialling.knownWords.size, "every word");
    } finally {
      dialling.mesh.stop();
      listener.mesh.stop();
    }
  });

  test.test("the VM with the largest capacity relays even if it joined last", async () => {
    await withFleet(async (fleet) => {
      const [seed] = fleet;
      const port = await kernelTesting.claimPort();
      const strong = await createVm("vm-strong", "north", port, [
        seed?.mesh.self.address ?? "",
      ], 10);
      try {
        const all = [...fleet, strong];
        const north = all.filter((vm) => vm.mesh.self.dataCentre === "north");
        await waitFor(
          () => north.every((vm) => vm.mesh.rankOwnDataCentre()[0]?.vm === "vm-strong"),
          "all VMs of its data centre rank it first",
        );
        for (const vm of [...fleet.slice(1, 4), strong]) {
          await expectReport(vm, all.filter((other) => other !== vm), `past ${vm.mesh.self.vm}`);
        }
      } finally {
        strong.mesh.stop();
      }
    });
  });

  test.test("a relay forwards many urgent reports in few messages", async () => {
    await withFleet(async (fleet) => {
      const [relay, ...others] = fleet.slice(0, 3);
      const socket = new ws.WebSocket(`ws://${relay?.mesh.self.address}`);
      let messages = 0;
      let reports = 0;
      socket.on("message", (data: Buffer) => {
        const message = msgpackr.unpack(data) as types.LinkMessage;
        if (message.kind === "reports") {
          messages++;
          reports += message.reports.length;
        }
      });
      await new Promise((resolve) => socket.once("open", resolve));
      const identity = { ...others[0]?.mesh.self, vm: "vm-counts", incarnation: "zz", tag: 1 };
      socket.send(msgpackr.pack({ kind: "hello", identity, members: [], feeds: {}, marks: {} }));
      socket.send(msgpackr.pack({ kind: "role", role: "subscription" }));
      const endsAt = performance.now() + COUNTED_MILLISECONDS;
      for (let value = 0; performance.now() < endsAt; value++) {
        for (const vm of others) {
          vm.value = `urgent ${value}`;
          vm.mesh.reportSoon();
        }
        await kernel.sleep(2);
      }
      socket.terminate();
      // Each VM sends at most one report in 10 ms, and the relay at most one message in 10 ms.
      const most = COUNTED_MILLISECONDS / URGENT_DELAY_MILLISECONDS + COUNTED_MILLISECONDS / 100;
      assert.ok(reports > messages, `${reports} reports in ${messages} messages`);
      assert.ok(messages <= most * 1.2, `${messages} messages`);
    });
  });

  test.test("invalid reports are ignored, and the link stays open", async () => {
    await withFleet(async (fleet) => {
      const [relay] = fleet;
      const socket = new ws.WebSocket(`ws://${relay?.mesh.self.address}`);
      await new Promise((resolve) => socket.once("open", resolve));
      const reports = [Buffer.from([0xc1]), msgpackr.pack("none"), msgpackr.pack([1, 2, 0, null])];
      socket.send(msgpackr.pack({ kind: "reports", reports, confirmedAge: undefined }));
      await kernel.sleep(100);
      assert.equal(socket.readyState, socket.OPEN);
      socket.terminate();
    });
  });

  test.test("the age of the store's latest response reaches all VMs", async () => {
    await withFleet(async (fleet) => {
      fleet[4]?.mesh.recordStoreResponse();
      await waitFor(
        () =>
          fleet.every((vm) =>
            performance.now() - vm.mesh.lastStoreResponseAt < PROPAGATION_TIMEOUT_MILLISECONDS
          ),
        "the response of the store",
      );
    });
  });
});
