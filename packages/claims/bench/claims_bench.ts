/**
 * Measures claims: control traffic while idle and messages per claim on the test clock, memory per
 * stored key and response, and latency over WebSockets on loopback. Arguments: fleet sizes for the
 * first part.
 */

import process from "node:process";
import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as fleetTesting from "@hemlockwalk/fleet/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as timings from "../src/claim_timing.ts";
import * as registries from "../src/claim_registry.ts";
import * as claims from "../src/mod.ts";
import * as tables from "../src/slot_table.ts";
import * as slots from "../src/slots.ts";
import * as fleets from "../test/claim_fleet.ts";

const IDLE_MILLISECONDS = 60_000;
const CLAIMS = 200;
const SOCKET_VMS = 5;
const SOCKET_CLAIMS = 3_000;
const SOCKET_TIMING = { retention: 1_000, maxEntryAge: 60_000, minLease: 2_000, maxLease: 2_000 };
const MEMORY_ENTRIES = 40_000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function measureTraffic(count: number): Promise<void> {
  const simulated = new fleets.ClaimFleet(count, 1, claims.DEFAULT_TIMING);
  await simulated.wait(150_000);
  const before = { frames: simulated.hub.frames, bytes: simulated.hub.bytes };
  await simulated.wait(IDLE_MILLISECONDS);
  const idleFrames = simulated.hub.frames - before.frames;
  const idleBytes = simulated.hub.bytes - before.bytes;
  const vmSeconds = count * IDLE_MILLISECONDS / 1_000;
  let frames = 0;
  let bytes = 0;
  let granted = 0;
  for (let index = 0; index < CLAIMS; index++) {
    const start = { frames: simulated.hub.frames, bytes: simulated.hub.bytes };
    const asked = simulated.claim(index % count, `key-${index}`);
    // Lease renewals during these few milliseconds are counted too.
    await simulated.clock.advance(6, 1);
    frames += simulated.hub.frames - start.frames;
    bytes += simulated.hub.bytes - start.bytes;
    const decision = await asked;
    if (decision.kind === "granted") {
      granted++;
      decision.claim.abandon();
    }
  }
  await simulated.end();
  print(
    `${count} VMs: while idle each sends ${(idleFrames / vmSeconds).toFixed(1)} frames/s and ` +
      `${(idleBytes / vmSeconds).toFixed(0)} B/s; a claim takes ${
        (frames / CLAIMS).toFixed(1)
      } frames ` +
      `and ${(bytes / CLAIMS).toFixed(0)} B of the fleet; granted ${granted} of ${CLAIMS}`,
  );
}

function measureMemory(): void {
  const collect = () => {
    (globalThis as { gc?: () => void }).gc?.();
    return process.memoryUsage().heapUsed;
  };
  const before = collect();
  const table = new tables.SlotTable(claims.DEFAULT_TIMING, MEMORY_ENTRIES);
  for (let index = 0; index < MEMORY_ENTRIES; index++) {
    table.put(
      index % slots.SLOT_COUNT,
      slots.createKeyHash(model.createWorkspaceId("w"), `${index}`),
      {
        vm: model.createVmId(`vm-${index % 40}`),
        incarnation: model.createIncarnation(),
        claim: `vm-${index % 40}-0mi0q0q0q-0123456789abcdef-${index}`,
        fingerprint: index.toString(16).padStart(64, "0"),
      },
    );
  }
  const perKey = (collect() - before) / table.size;
  const registry = new registries.ClaimRegistry("vm-1-0mi0q0q0q-0123456789abcdef");
  const answers = 10_000;
  const start = collect();
  for (let index = 0; index < answers; index++) {
    registry.store(registry.create(), { status: 200, headers: ["a", "b"], body: new Uint8Array() });
  }
  const perAnswer = (collect() - start) / answers;
  print(
    `memory: ${perKey.toFixed(0)} B for each of ${table.size} stored keys, ${
      perAnswer.toFixed(0)
    } B ` +
      `for each of ${answers} stored responses without a body, ${registry.answerBytes} B by its ` +
      `own count; limits ${tables.MAX_ENTRIES} keys and ` +
      `${registries.MAX_ANSWER_BYTES} B of responses`,
  );
}

function createMembers(addresses: ReadonlyMap<string, string>): fleet.Member[] {
  return [...addresses].map(([vm, address]) => ({
    vm: model.createVmId(vm),
    dataCentre: model.createDataCentreId("north-1"),
    address,
    incarnation: undefined,
    state: "live",
  }));
}

async function measureLatency(): Promise<void> {
  const snapshot = { fleet: { vmLimit: SOCKET_VMS } } as configuration.Snapshot;
  const addresses = new Map<string, string>();
  const networks = Array.from({ length: SOCKET_VMS }, (_, index) => {
    const self = {
      vm: model.createVmId(`vm-${index}`),
      incarnation: model.createIncarnation(),
      dataCentre: model.createDataCentreId("north-1"),
    };
    const network = new fleet.WebSocketPeerNetwork(self, {
      address: "127.0.0.1:0",
      secrets: { read: () => Promise.resolve(neverthrow.ok(["s".repeat(40)])) },
      counters: new fleet.PeerCounters(new kernel.Metrics()),
      logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "fleet"),
    });
    network.useDirectory({ findAddress: (vm) => addresses.get(vm), isLatest: () => true });
    return network;
  });
  for (const network of networks) {
    await network.start();
    addresses.set(network.self.vm, `127.0.0.1:${network.port}`);
  }
  const stores = networks.map((network) => {
    const store = new claims.FleetClaimStore({
      network,
      membership: new fleetTesting.FixedMembership(network.self, createMembers(addresses)),
      configuration: {
        getSnapshot: () => snapshot,
        isReady: () => true,
        onChange: () => undefined,
      },
      counters: new claims.ClaimCounters(new kernel.Metrics()),
      timing: SOCKET_TIMING,
    });
    store.start();
    return store;
  });
  await kernel.sleep(timings.getProtectedPeriod(SOCKET_TIMING) + 6 * SOCKET_TIMING.maxLease);
  const latency = new kernel.LatencyDistribution();
  let granted = 0;
  for (let index = 0; index < SOCKET_CLAIMS; index++) {
    const store = kernel.getDefined(stores[index % SOCKET_VMS], "There is a store.");
    const started = kernel.getMonotonicMilliseconds();
    const decision = await store.claim({
      workspace: model.createWorkspaceId("antwerp"),
      idempotencyKey: `key-${index}`,
      fingerprint: "f",
      deadlineMilliseconds: started + 5_000,
    });
    latency.record(kernel.getMonotonicMilliseconds() - started);
    if (decision.kind === "granted") {
      granted++;
      decision.claim.complete({ status: 200, headers: [], body: new Uint8Array(200) });
    }
  }
  print(
    `latency, ${SOCKET_VMS} VMs in one process over loopback, one claim at a time: ` +
      `p50 ${latency.getQuantileMilliseconds(0.5).toFixed(2)} ms, ` +
      `p99 ${latency.getQuantileMilliseconds(0.99).toFixed(2)} ms; ` +
      `granted ${granted} of ${SOCKET_CLAIMS}`,
  );
  await Promise.all(stores.map((store) => store.stop()));
  await Promise.all(networks.map((network) => network.stop()));
}

measureMemory();
await measureLatency();
for (const argument of process.argv.slice(2)) {
  await measureTraffic(Number(argument));
}
