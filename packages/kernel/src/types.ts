/**
 * Types shared by all services of one VM.
 */

/** A component of the daemon with its own life cycle. Each method is optional. */
export interface Service {
  /** Called once, in the order of registration. A rejection aborts the start of the kernel. */
  start?(): Promise<void> | void;
  /**
   * Called first in a graceful stop, in the reverse order of registration. The service accepts no
   * new work, transfers the state that other VMs need, and resolves when its work has ended.
   *
   * @param requestedAt Monotonic time at which the stop was requested, in milliseconds. It lies back
   *     if the process could not handle the request at once.
   */
  drain?(requestedAt: number): Promise<void> | void;
  /** Called last, in the reverse order of registration. Releases timers, sockets and files. */
  stop?(): Promise<void> | void;
}

/** Name under which a service of type `T` is registered and looked up. */
export type ServiceName<T> = string & { readonly __service?: T };
