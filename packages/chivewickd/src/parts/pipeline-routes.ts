import {id, type EndpointId} from '@chivewick/common';
import type {PipelineRoutes} from '@chivewick/pipeline';
import type {RouteTable} from '@chivewick/routes';

/** Adapts the route table to the interface that the pipeline requires. */
export function pipelineRoutes(routes: RouteTable): PipelineRoutes {
  return {
    choose: query => routes.choose(query),
    observe: observation => routes.observe(observation),
    endpoints: () =>
      routes
        .endpoints()
        .map(e => ({endpoint: id<EndpointId>(e.id), address: e.address})),
  };
}
