/**
 * The VMs that serve requests for this one while it reaches no target.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import type * as paths from "./path_monitor.ts";
import * as connections from "./target_connections.ts";

/** Time for which a VM is avoided that could not be reached or that refused a request. */
const AVOIDED_MILLISECONDS = 1_000;

/** Connect timeout. VMs are as near as targets, but the other one may be busy. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** A VM chosen for a request. */
export interface ServingPeer extends placement.Peer {
  readonly address: string;
}

/** Chooses among the other VMs and holds the connections to them. */
export class ServingPeers implements kernel.Service {
  readonly connectTimeoutMilliseconds = CONNECT_TIMEOUT_MILLISECONDS;
  readonly connections: connections.TargetConnections;
  readonly #mesh: mesh.Mesh;
  readonly #path: paths.PathMonitor;
  readonly #homePolicy: placement.HomePolicy;
  readonly #avoidedUntil = new Map<model.VmId, number>();
  readonly #loads = new Map<model.VmId, number>();

  constructor(vmMesh: mesh.Mesh, path: paths.PathMonitor, homePolicy: placement.HomePolicy) {
    this.#homePolicy = homePolicy;
    this.#mesh = vmMesh;
    this.#path = path;
    // The other VMs know this one by the address of its listener for them.
    const { host } = kernel.splitAddress(vmMesh.self.address);
    this.connections = new connections.TargetConnections(host);
  }

  stop(): void {
    this.connections.destroy();
  }

  /**
   * Chooses a VM that has not been tried and to which a request with the given homes may be passed
   * on; undefined if there is none.
   */
  choose(tried: ReadonlySet<model.VmId>, homes: placement.Homes): ServingPeer | undefined {
    const now = kernel.getMonotonicMilliseconds();
    const others = this.#mesh.listOthers().filter(({ vm, dataCentre }) =>
      !tried.has(vm) && this.#homePolicy.allowsPeer(homes, dataCentre)
    );
    const candidates = others.map((member) => ({
      vm: member.vm,
      address: member.address,
      isLocal: member.dataCentre === this.#mesh.self.dataCentre,
      hasPath: !this.#path.isVmIsolated(member),
      isAvoided: (this.#avoidedUntil.get(member.vm) ?? 0) > now,
      load: this.#loads.get(member.vm) ?? 0,
    }));
    return placement.choosePeer(candidates);
  }

  begin(vm: model.VmId): void {
    this.#loads.set(vm, (this.#loads.get(vm) ?? 0) + 1);
  }

  end(vm: model.VmId): void {
    const load = (this.#loads.get(vm) ?? 0) - 1;
    if (load > 0) {
      this.#loads.set(vm, load);
    } else {
      this.#loads.delete(vm);
    }
  }

  /** Avoids a VM for a short time. */
  avoid(vm: model.VmId): void {
    this.#avoidedUntil.set(vm, kernel.getMonotonicMilliseconds() + AVOIDED_MILLISECONDS);
  }
}
