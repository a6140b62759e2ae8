/**
 * The micro-kernel of one VM.
 *
 * Services are registered and looked up by name. They start in the order of registration and stop
 * in the reverse order. A process normally has one kernel; tests create one for each VM.
 */

import * as assertions from "./assert.ts";
import * as clock from "./clock.ts";
import type * as types from "./types.ts";

/** Thrown when a service is registered twice or after the start, or is not registered. */
export class KernelError extends Error {
  override readonly name = "KernelError";
}

/** Creates the typed name of a service. */
export function createServiceName<T>(name: string): types.ServiceName<T> {
  return name;
}

type KernelState = "created" | "starting" | "running" | "draining" | "stopped";

/** Registry and life cycle of the services of one VM. */
export class Kernel {
  readonly #services = new Map<string, types.Service>();
  readonly #started: types.Service[] = [];
  #state: KernelState = "created";
  /** Settles when the start has ended. */
  #starting: Promise<void> | undefined;
  /** Settles when the stop has ended; undefined if none was requested. */
  #stopping: Promise<void> | undefined;

  /** Current phase of the kernel's life cycle. */
  get state(): KernelState {
    return this.#state;
  }

  /**
   * Registers a service under its name.
   *
   * @throws {KernelError} When the name is already registered or the kernel has started.
   */
  register<T extends object>(name: types.ServiceName<T>, service: T): T {
    if (this.#state !== "created") {
      throw new KernelError(`Service '${name}' cannot be registered after the kernel has started.`);
    }
    if (this.#services.has(name)) {
      throw new KernelError(`Service '${name}' is already registered.`);
    }
    this.#services.set(name, service);
    return service;
  }

  /**
   * Looks up a service by its name.
   *
   * @throws {KernelError} When no such service is registered.
   */
  get<T>(name: types.ServiceName<T>): T {
    const service = this.find(name);
    if (service === undefined) {
      throw new KernelError(`Service '${name}' is not registered.`);
    }
    return service;
  }

  /** Looks up a service by its name; undefined when none is registered. */
  find<T>(name: types.ServiceName<T>): T | undefined {
    return this.#services.get(name) as T | undefined;
  }

  /** Starts all services in the order of registration. A failure stops the started ones. */
  async start(): Promise<void> {
    assertions.assert(this.#state === "created", "The kernel can be started only once.");
    this.#state = "starting";
    this.#starting = this.#startAll();
    await this.#starting;
  }

  async #startAll(): Promise<void> {
    try {
      for (const service of this.#services.values()) {
        await service.start?.();
        this.#started.push(service);
      }
    } catch (error) {
      await this.#stopStarted();
      throw error;
    }
    this.#state = "running";
  }

  /**
   * Drains all services, then stops them, both in the reverse order of registration.
   *
   * While the services start, some may have accepted work already, so that a stop is carried out
   * once all have started. A start that fails stops them itself. Further calls return the same
   * promise; without a start, nothing is done.
   *
   * @param requestedAt Monotonic time at which the stop was requested, in milliseconds; by default
   *     now.
   */
  stop(requestedAt = clock.getMonotonicMilliseconds()): Promise<void> {
    if (this.#state === "running") {
      this.#stopping ??= this.#drainAndStop(requestedAt);
    } else if (this.#state === "starting") {
      this.#stopping ??= this.#stopAfterStart(requestedAt);
    }
    return this.#stopping ?? Promise.resolve();
  }

  async #stopAfterStart(requestedAt: number): Promise<void> {
    const hasStarted = await this.#starting?.then(() => true, () => false);
    if (hasStarted === true) {
      await this.#drainAndStop(requestedAt);
    }
  }

  async #drainAndStop(requestedAt: number): Promise<void> {
    this.#state = "draining";
    for (const service of [...this.#started].reverse()) {
      await service.drain?.(requestedAt);
    }
    await this.#stopStarted();
  }

  async #stopStarted(): Promise<void> {
    for (const service of this.#started.splice(0).reverse()) {
      await service.stop?.();
    }
    this.#state = "stopped";
  }
}
