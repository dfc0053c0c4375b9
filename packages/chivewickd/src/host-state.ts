/** Lifecycle state of this host. */
export interface HostState {
  /** A graceful stop has begun: not ready, but requests are still served. */
  stopping: boolean;
  /** Listeners are closed; requests on keep-alive connections are refused. */
  refusing: boolean;
}
