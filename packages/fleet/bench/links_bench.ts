/**
 * Measures the traffic and processor time of the membership over WebSocket links on loopback,
 * including the links' own heartbeats. Arguments: fleet sizes; all VMs run in this process.
 */

import process from "node:process";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as fleet from "../src/mod.ts";

const SETTLE_MILLISECONDS = 8_000;
const IDLE_MILLISECONDS = 20_000;

/** Headers of IPv4, TCP with timestamps, and a WebSocket frame. */
const FRAME_OVERHEAD_BYTES = 20 + 32 + 4;

interface MeasuredVm {
  readonly metrics: kernel.Metrics;
  readonly network: fleet.WebSocketPeerNetwork;
  membership: fleet.GossipMembership | undefined;
}

function createVm(index: number): MeasuredVm {
  const metrics = new kernel.Metrics();
  const self = {
    vm: model.createVmId(`vm-${index}`),
    incarnation: model.createIncarnation(),
    dataCentre: model.createDataCentreId(`dc-${index % 3}`),
  };
  const network = new fleet.WebSocketPeerNetwork(self, {
    address: "127.0.0.1:0",
    secrets: { read: () => Promise.resolve(neverthrow.ok(["s".repeat(40)])) },
    counters: new fleet.PeerCounters(metrics),
    logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "peers"),
  });
  return { metrics, network, membership: undefined };
}

async function count(vms: readonly MeasuredVm[], name: string): Promise<number> {
  let total = 0;
  for (const vm of vms) {
    const metric = await vm.metrics.registry.getSingleMetric(name)?.get();
    const sent = metric?.values.find((value) => value.labels.direction === "sent");
    total += sent?.value ?? 0;
  }
  return total;
}

async function measure(size: number): Promise<void> {
  const vms = Array.from({ length: size }, (_, index) => createVm(index));
  for (const vm of vms) {
    await vm.network.start();
  }
  const seeds = vms.slice(0, 3).map((vm): fleet.ListedVm => ({
    vm: vm.network.self.vm,
    address: `127.0.0.1:${vm.network.port}`,
    dataCentre: vm.network.self.dataCentre,
    state: "live",
  }));
  for (const vm of vms) {
    vm.membership = new fleet.GossipMembership({
      network: vm.network,
      address: `127.0.0.1:${vm.network.port}`,
      seeds,
      pauses: { lastResumeMilliseconds: Number.NEGATIVE_INFINITY },
      counters: new fleet.MembershipCounters(vm.metrics),
      logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "membership"),
    });
    vm.network.useDirectory(vm.membership);
    vm.membership.start();
  }
  await kernel.sleep(SETTLE_MILLISECONDS);
  const frames = await count(vms, "hemlockwalk_peer_frames_total");
  const bytes = await count(vms, "hemlockwalk_peer_bytes_total");
  const cpuStart = process.cpuUsage();
  await kernel.sleep(IDLE_MILLISECONDS);
  const cpuUsed = process.cpuUsage(cpuStart);
  const vmSeconds = size * IDLE_MILLISECONDS / 1_000;
  const sentFrames = (await count(vms, "hemlockwalk_peer_frames_total") - frames) / vmSeconds;
  const sentBytes = (await count(vms, "hemlockwalk_peer_bytes_total") - bytes) / vmSeconds;
  const onWire = sentBytes + sentFrames * FRAME_OVERHEAD_BYTES;
  const coreShare = (cpuUsed.user + cpuUsed.system) / 1_000 / IDLE_MILLISECONDS / size;
  const views = vms.filter((vm) => vm.membership?.listMembers().length === size).length;
  process.stdout.write(
    `${size} VMs: ${views} with a complete view; each sends ${sentFrames.toFixed(1)} frames/s, ` +
      `${sentBytes.toFixed(0)} B/s, about ${onWire.toFixed(0)} B/s with headers, and uses ` +
      `${(coreShare * 100).toFixed(2)}% of a core; links ` +
      `${(vms.reduce((total, vm) => total + vm.network.openLinks, 0) / size).toFixed(1)}\n`,
  );
  for (const vm of vms) {
    await vm.membership?.stop();
  }
  await Promise.all(vms.map((vm) => vm.network.stop()));
}

for (const argument of process.argv.slice(2)) {
  await measure(Number(argument));
}
