/**
 * Types shared by all services of one VM.
 */

/** A part of the daemon with its own life cycle. Each method is optional. */
export interface Service {
  /** Called once, in the order of registration. A rejection stops the whole start. */
  start?(): Promise<void> | void;
  /**
   * Called first in a graceful stop, in the reverse order of registration. The service takes no new
   * work, hands over what others need, and resolves when its running work has ended.
   */
  drain?(): Promise<void> | void;
  /** Called last, in the reverse order of registration. Releases timers, sockets and files. */
  stop?(): Promise<void> | void;
}

/** The name under which a service of type `T` is registered and found. */
export type ServiceName<T> = string & { readonly __service?: T };
