/**
 * A VM that stands still while a backend leaves and the other VMs start again.
 */

import { Client, createRequestId } from "../lib/client.mjs";
import { Fleet, sleep } from "../lib/fleet.mjs";
import { isTroubled, play } from "../lib/report.mjs";
import { Server } from "../lib/server.mjs";
import { createConfiguration, createEntry, Store } from "../lib/store.mjs";

const HOST = "desk.example";
const KEY = "key-of-tenant-one";
/** One of them, a share of 0.1, stands still. */
const VMS = 10;
const STANDSTILL_MILLISECONDS = 5_000;

/** Bounds of the site. */
const DRAIN_MILLISECONDS = 2_000;
const STABLE_MILLISECONDS = 3_000;

/** Delay after which the platform starts a process again. */
const RESTART_MILLISECONDS = 500;

const WORK_MILLISECONDS = 30;
const REQUEST_INTERVAL_MILLISECONDS = 20;

const fleet = new Fleet();
const store = new Store();

async function answer(arrival, socket, server) {
  arrival.at = performance.now();
  await sleep(WORK_MILLISECONDS);
  server.sendAnswer(socket, arrival, 200, Buffer.from(`done ${arrival.requestId}\n`));
}

async function request(vm, sent) {
  const client = new Client();
  const id = createRequestId();
  try {
    await client.connect(vm.listen.front);
  } catch {
    return;
  }
  sent.set(id, { vm, sentAt: performance.now() });
  client.sendHead("POST", `/book/${id.slice(0, 2)}`, {
    Host: HOST,
    "Request-Id": id,
    "Deadline-Ms": 5000,
    Authorization: `Bearer ${KEY}`,
    "Content-Length": 0,
  });
  sent.get(id).status = (await client.readAnswer()).status;
  client.close();
}

await play(import.meta.url, async (record) => {
  await store.start();
  const servers = ["i-1", "i-2", "i-3", "i-4"].map((id) => new Server(id, "desk", answer));
  for (const server of servers) {
    await server.start();
    store.put(`servers/${server.id}`, createEntry(server));
  }
  const rule = {
    name: "r-book",
    kind: "non_idempotent",
    slo: "1000ms",
    priority: 1,
    public: false,
    match: { prefix: "/book/" },
    action: { service: "desk", timeout: "2000ms", attempts: 2 },
  };
  const tenants = [{ name: "one", api_keys: [KEY], priority: 1, rate_per_s: 0, burst: 0 }];
  store.put(
    "op/config",
    createConfiguration({ version: 7, host: HOST, rules: [rule], tenants, services: ["desk"] }),
  );
  try {
    await fleet.start(VMS, store.address);
    await sleep(4_000);
    const sent = new Map();
    const [frozen, ...others] = fleet.vms;
    let index = 0;
    const timer = setInterval(() => {
      const vm = fleet.vms[index++ % VMS];
      if (vm !== frozen || !frozen.isFrozen) {
        void request(vm, sent);
      }
    }, REQUEST_INTERVAL_MILLISECONDS);
    await sleep(1_000);
    if (isTroubled) {
      record.write(`${frozen.name} stands still`);
      frozen.frozenAt = performance.now();
      frozen.isFrozen = true;
      frozen.child.kill("SIGSTOP");
    }
    await sleep(200);
    let restartedAt = Number.NEGATIVE_INFINITY;
    if (isTroubled) {
      record.write(`the other VMs are killed`);
      others.forEach((vm) => vm.child.kill("SIGKILL"));
    }
    await sleep(200);
    const [leaving] = servers;
    store.delete(`servers/${leaving.id}`);
    const goneAt = performance.now();
    record.write(`the entry of ${leaving.id} is removed; it goes on serving`);
    if (isTroubled) {
      await sleep(RESTART_MILLISECONDS);
      await Promise.all(others.map((vm) => fleet.relaunch(vm)));
      restartedAt = performance.now();
      await Promise.all(others.map((vm) => fleet.waitUntilReady(vm)));
      record.write(`the other VMs are ready again`);
      await sleep(frozen.frozenAt + STANDSTILL_MILLISECONDS - performance.now());
      frozen.child.kill("SIGCONT");
      frozen.isFrozen = false;
      record.write(`${frozen.name} goes on`);
    }
    await sleep(5_000);
    clearInterval(timer);
    await sleep(1_000);
    const violations = [];
    const boundAt = goneAt + DRAIN_MILLISECONDS;
    for (const arrival of leaving.arrivals.filter(({ at }) => at > boundAt)) {
      const { vm } = sent.get(arrival.requestId) ?? {};
      const isInTouch = vm !== undefined && vm !== frozen &&
        arrival.at > restartedAt + STABLE_MILLISECONDS;
      const text = `request ${arrival.requestId} reached ${leaving.id} ` +
        `${Math.round(arrival.at - goneAt)} ms after it was gone, by way of ${vm?.name}` +
        `${isInTouch ? ", in touch" : ""}`;
      record.write(text);
      if (isInTouch) {
        violations.push(`DRAIN: ${text}`);
      }
    }
    return violations;
  } finally {
    await fleet.stop();
    servers.forEach((server) => server.stop());
    store.stop();
  }
});
