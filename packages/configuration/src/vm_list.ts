/**
 * The platform's list of VMs, which few VMs read and relay to the others.
 */

import type * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as zod from "zod";
import type * as counting from "./counters.ts";
import type * as neighbourhood from "./neighbours.ts";
import * as peerMessages from "./peer_messages.ts";
import type * as readerElection from "./reader_election.ts";
import type * as types from "./types.ts";

const READ_TIMEOUT_MILLISECONDS = 2_000;
const WATCH_WAIT_MILLISECONDS = 2_000;
const RETRY_MILLISECONDS = 2_000;
const IDLE_INTERVAL_MILLISECONDS = 500;

/** Interval at which a VM that is not a reader reads the list, in case no peer relays it. */
const FALLBACK_INTERVAL_MILLISECONDS = 60_000;

/** Platform key of the list of VMs. */
export const VMS_KEY = "vms";

const listedVmSchema = zod.strictObject({
  vm: model.identifier.transform(model.createVmId),
  address: model.socketAddress,
  dataCentre: model.identifier.transform(model.createDataCentreId),
  state: zod.enum(["live", "leaving"]).default("live"),
});

const listSchema = zod.strictObject({ vms: zod.array(listedVmSchema).max(10_000) });

const listAnswerSchema = zod.strictObject({
  version: zod.number().int().min(0),
  vms: zod.array(listedVmSchema).max(10_000),
});

/** Dependencies of the list; `relay` is undefined on a VM without peers. */
export interface VmListDependencies {
  readonly reader: types.PlatformReader;
  readonly election: readerElection.ReaderElection;
  readonly counters: counting.ConfigurationCounters;
  readonly logger: kernel.ComponentLogger;
  readonly relay: {
    readonly network: fleet.PeerNetwork;
    readonly caller: peerMessages.PeerCaller;
    readonly neighbours: neighbourhood.Neighbours;
  } | undefined;
}

/** Follows the platform's list of VMs. The version of the list only increases. */
export class PlatformVmList implements fleet.VmListSource {
  readonly #dependencies: VmListDependencies;
  readonly #listeners: ((vms: readonly fleet.ListedVm[]) => void)[] = [];
  #version = 0;
  #vms: readonly fleet.ListedVm[] = [];
  #nextRead = Number.NEGATIVE_INFINITY;
  #isFetching = false;

  constructor(dependencies: VmListDependencies) {
    this.#dependencies = dependencies;
  }

  /** Version of the list; 0 before the first one. */
  get version(): number {
    return this.#version;
  }

  onList(listener: (vms: readonly fleet.ListedVm[]) => void): void {
    this.#listeners.push(listener);
    if (this.#version > 0) {
      listener(this.#vms);
    }
  }

  /** Registers the handler that sends the list to peers. */
  listen(): void {
    this.#dependencies.relay?.network.handle(
      peerMessages.VMS_CHANNEL,
      () => ({ version: this.#version, vms: this.#vms }),
    );
  }

  /** Follows the list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#dependencies.election.isReader) {
        await this.#watch(signal);
      } else {
        await this.#readPeriodically(signal);
      }
    }
  }

  /** Fetches the list of a peer if its version is newer. */
  async fetchIfNewer(peer: model.VmId, version: number): Promise<void> {
    const { relay } = this.#dependencies;
    if (relay === undefined || version <= this.#version || this.#isFetching) {
      return;
    }
    this.#isFetching = true;
    const answer = await relay.caller.call(
      peer,
      peerMessages.VMS_CHANNEL,
      null,
      listAnswerSchema,
    );
    this.#isFetching = false;
    if (answer.isOk()) {
      this.#accept(answer.value.version, answer.value.vms);
    }
  }

  async #watch(signal: AbortSignal): Promise<void> {
    const { reader } = this.#dependencies;
    const value = await reader.watch(VMS_KEY, this.#version, WATCH_WAIT_MILLISECONDS, signal);
    if (value.isOk()) {
      this.#parseAndAccept(value.value);
    }
    // A replica that lags behind may respond immediately with an older version, and would be called
    // in a tight loop without a pause.
    const isUnchanged = value.isErr() && value.error.kind === "absent";
    if (!isUnchanged) {
      await kernel.sleep(RETRY_MILLISECONDS * (0.5 + Math.random()), signal);
    }
  }

  async #readPeriodically(signal: AbortSignal): Promise<void> {
    if (kernel.getMonotonicMilliseconds() >= this.#nextRead) {
      const { reader } = this.#dependencies;
      const value = await reader.get(VMS_KEY, READ_TIMEOUT_MILLISECONDS, signal);
      if (value.isOk()) {
        this.#parseAndAccept(value.value);
      }
      const interval = FALLBACK_INTERVAL_MILLISECONDS * (0.5 + Math.random());
      this.#nextRead = kernel.getMonotonicMilliseconds() + interval;
    }
    await kernel.sleep(IDLE_INTERVAL_MILLISECONDS, signal);
  }

  #parseAndAccept(value: types.PlatformValue): void {
    const list = model.parseDocument(value.text, listSchema);
    if (list.isOk()) {
      this.#accept(value.version, list.value.vms);
      return;
    }
    for (const diagnostic of list.error) {
      const finding = model.formatDiagnostic(VMS_KEY, diagnostic);
      this.#dependencies.logger.error("The list of VMs is invalid.", { finding });
    }
  }

  #accept(version: number, vms: readonly fleet.ListedVm[]): void {
    if (version <= this.#version) {
      return;
    }
    this.#version = version;
    this.#vms = vms;
    for (const listener of this.#listeners) {
      listener(vms);
    }
  }
}

/** The service name of the list of VMs. */
export const VM_LIST_SOURCE = kernel.createServiceName<fleet.VmListSource>("vm-list-source");
