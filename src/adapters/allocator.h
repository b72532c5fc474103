// Settings of the memory allocator of a process with many threads.

#ifndef HARECRANK_SRC_ADAPTERS_ALLOCATOR_H_
#define HARECRANK_SRC_ADAPTERS_ALLOCATOR_H_

namespace harecrank {

// Makes large blocks, such as bodies of requests, go back to the system as soon
// as they are freed. By default the allocator keeps them for the thread that
// freed them, so that each thread may hold a body that no one uses. To be
// called once, before threads are started.
void ReturnLargeBlocksToSystem();

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_ALLOCATOR_H_
