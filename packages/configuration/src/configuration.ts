/**
 * The service that keeps the configuration up to date, from the platform and from peers.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as baselineSources from "./baseline_sources.ts";
import * as callBudget from "./call_budget.ts";
import * as catchUp from "./catch_up.ts";
import * as counting from "./counters.ts";
import * as neighbourhood from "./neighbours.ts";
import * as noteChain from "./note_chain.ts";
import * as noteRelay from "./note_relay.ts";
import * as peerMessages from "./peer_messages.ts";
import * as platformContact from "./platform_contact.ts";
import * as platformFollower from "./platform_follower.ts";
import * as readerElection from "./reader_election.ts";
import * as readiness from "./readiness.ts";
import type * as types from "./types.ts";
import * as vmList from "./vm_list.ts";

/** Holds the configuration in force and applies new release notes as they are published. */
export class ReplicatedConfiguration implements types.ConfigurationService {
  readonly #services: kernel.Kernel;
  readonly #logger: kernel.ComponentLogger;
  readonly #platform: types.PlatformReader;
  readonly #stopping = new AbortController();
  readonly #counters: counting.ConfigurationCounters;
  readonly #chain: noteChain.NoteChain;
  readonly #contact = new platformContact.PlatformContact();
  readonly #vmListListeners: ((vms: readonly fleet.ListedVm[]) => void)[] = [];
  #components: Components | undefined;
  #tasks: Promise<unknown>[] = [];

  /** @param platform Closed when this service stops. */
  constructor(
    services: kernel.Kernel,
    platform: types.PlatformReader,
    logger: kernel.ComponentLogger,
  ) {
    this.#services = services;
    this.#platform = platform;
    this.#logger = logger;
    const metrics = services.find(kernel.METRICS) ?? new kernel.Metrics();
    this.#counters = counting.createCounters(metrics);
    this.#chain = new noteChain.NoteChain(logger, this.#counters);
    metrics.createGauge(
      "hemlockwalk_configuration_number",
      "Number of the release note in force; 0 without one.",
      () => this.#chain.number,
    );
    metrics.createGauge(
      "hemlockwalk_configuration_behind",
      "Newer release notes that were reported to this VM and are not in force here.",
      () => this.#chain.highestReported - this.#chain.number,
    );
  }

  getSnapshot(): types.Snapshot | undefined {
    return this.#chain.snapshot;
  }

  isReady(): boolean {
    return this.#components?.readiness.isReady ?? false;
  }

  onChange(listener: types.SnapshotListener): void {
    this.#chain.onAccepted((change) => listener(change));
  }

  /** Calls the listener with each new list of VMs. */
  onVmList(listener: (vms: readonly fleet.ListedVm[]) => void): void {
    this.#vmListListeners.push(listener);
  }

  getStatus(): types.ConfigurationStatus {
    return {
      number: this.#chain.number,
      digest: this.#chain.snapshot?.digest ?? null,
      ready: this.isReady(),
      highestHeard: this.#chain.highestReported,
      platformReader: this.#components?.election.isReader ?? false,
      platformContactAgeMilliseconds: this.#contact.ageMilliseconds ?? null,
      forks: this.#chain.forks.list(),
      refusedNotes: this.#chain.refused.listAbove(this.#chain.number),
    };
  }

  start(): void {
    const { signal } = this.#stopping;
    this.#components = this.#createComponents(signal);
    const { relay, follower, list } = this.#components;
    list.onList((vms) => this.#vmListListeners.forEach((listener) => listener(vms)));
    list.listen();
    relay?.listen();
    this.#tasks = [
      this.#components.readiness.run(signal),
      follower.run(signal),
      list.run(signal),
      relay?.run(signal) ?? Promise.resolve(),
    ];
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#tasks);
    await this.#platform.close();
  }

  /** Called by `start`, after the services for peers have been registered. */
  #createComponents(signal: AbortSignal): Components {
    const chain = this.#chain;
    const counters = this.#counters;
    const contact = this.#contact;
    const logger = this.#logger;
    const network = this.#services.find(fleet.PEER_NETWORK);
    const membership = this.#services.find(fleet.MEMBERSHIP);
    const election = new readerElection.ReaderElection(membership);
    const reader = new callBudget.BudgetedReader(
      this.#platform,
      () => election.fleetSize,
      counters,
    );
    const baselines = new baselineSources.BaselineSources(chain, reader, counters, logger);
    const follower = new platformFollower.PlatformFollower({
      chain,
      reader,
      baselines,
      election,
      contact,
      counters,
      logger,
    });
    if (network === undefined || membership === undefined) {
      const list = new vmList.PlatformVmList({
        reader,
        election,
        counters,
        logger,
        relay: undefined,
      });
      const platformOnly = new readiness.Readiness({ chain, follower, peers: undefined });
      return { election, follower, list, relay: undefined, readiness: platformOnly };
    }
    const caller = new peerMessages.PeerCaller(network, counters);
    const neighbours = new neighbourhood.Neighbours(membership);
    const list = new vmList.PlatformVmList({
      reader,
      election,
      counters,
      logger,
      relay: { network, caller, neighbours },
    });
    const puller = new catchUp.CatchUp(chain, caller, baselines, counters, signal);
    const relay = new noteRelay.NoteRelay({
      chain,
      network,
      caller,
      neighbours,
      catchUp: puller,
      contact,
      counters,
      getVmsVersion: () => list.version,
      onVmsVersion: (peer, version) => void list.fetchIfNewer(peer, version),
    });
    const peers = { relay, neighbours, catchUp: puller };
    const ready = new readiness.Readiness({ chain, follower, peers });
    return { election, follower, list, relay, readiness: ready };
  }
}

interface Components {
  readonly election: readerElection.ReaderElection;
  readonly follower: platformFollower.PlatformFollower;
  readonly list: vmList.PlatformVmList;
  readonly relay: noteRelay.NoteRelay | undefined;
  readonly readiness: readiness.Readiness;
}

/** The service name of the configuration. */
export const CONFIGURATION = kernel.createServiceName<types.ConfigurationService>("configuration");

/** Provides the list of VMs, which is read together with the configuration, to other services. */
class ConfiguredVmList implements fleet.VmListSource {
  readonly #configuration: ReplicatedConfiguration;

  constructor(configuration: ReplicatedConfiguration) {
    this.#configuration = configuration;
  }

  onList(listener: (vms: readonly fleet.ListedVm[]) => void): void {
    this.#configuration.onVmList(listener);
  }
}

/**
 * Registers the services for the configuration and the list of VMs. The services for peers are
 * looked up when the kernel starts, so they may be registered in any order and may be absent.
 */
export function registerConfiguration(
  services: kernel.Kernel,
  platform: types.PlatformReader,
  logger: kernel.ComponentLogger,
): types.ConfigurationService {
  const service = new ReplicatedConfiguration(services, platform, logger);
  services.register<types.ConfigurationService>(CONFIGURATION, service);
  services.register<fleet.VmListSource>(vmList.VM_LIST_SOURCE, new ConfiguredVmList(service));
  return service;
}
