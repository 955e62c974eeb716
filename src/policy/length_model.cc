#include "policy/length_model.h"

namespace meadowthread {
namespace {

// A curve is rebuilt after this many new observations, or earlier once the new
// ones exceed an eighth of the total weight.
constexpr std::uint32_t kRefreshEvery = 16;
constexpr float kRefreshShare = 0.125F;
// Models beyond this number share the overall histogram.
constexpr std::size_t kMaxModels = 1024;
// Without observations, the length is assumed to be distributed evenly over the
// octaves from 16 to 4,096 tokens: a wide range, with a long tail that keeps
// memory free.
constexpr std::size_t kFirstPriorBucket =
    std::size_t{4} * kLengthBucketsPerOctave;
constexpr std::size_t kEndPriorBucket =
    std::size_t{12} * kLengthBucketsPerOctave;
constexpr float kOutsideWeight = 1e-3F;

std::string JoinKey(const LengthKey& key) {
  std::string joined_key = key.workspace;
  joined_key += '\0';
  joined_key += key.template_name;
  joined_key += '\0';
  joined_key += key.model;
  return joined_key;
}

std::array<float, kLengthBuckets> InitialPrior() {
  std::array<float, kLengthBuckets> prior = {};
  constexpr float kWeightEach = 1.0F / (kEndPriorBucket - kFirstPriorBucket);
  for (std::size_t i = 0; i < kLengthBuckets; ++i) {
    const bool inside = i >= kFirstPriorBucket && i < kEndPriorBucket;
    prior[i] = inside ? kWeightEach : kOutsideWeight;
  }
  return prior;
}

}  // namespace

LengthKey LengthKeyOf(const WorkItem& work) {
  return LengthKey{work.workspace, work.template_name, work.model};
}

LearnedLengthModel::LearnedLengthModel(LengthModelOptions options)
    : options(options) {}

void LearnedLengthModel::Add(Histogram& histogram, std::int64_t tokens) const {
  const auto decay = static_cast<float>(this->options.decay);
  for (float& weight : histogram.weights) {
    weight *= decay;
  }
  histogram.weights[LengthBucketOf(tokens)] += 1.0F;
  histogram.total = histogram.total * decay + 1.0F;
  ++histogram.new_observations;
}

void LearnedLengthModel::Observe(const LengthKey& key, std::int64_t tokens) {
  this->Add(this->overall, tokens);
  this->Add(this->ModelHistogram(key.model), tokens);
  this->Add(this->KeyHistogram(JoinKey(key)), tokens);
}

std::shared_ptr<const LengthSurvivalCurve> LearnedLengthModel::CurveOf(
    const LengthKey& key) {
  const auto found = this->keys.find(JoinKey(key));
  if (found == this->keys.end()) {
    return this->Blend(this->ModelHistogram(key.model), &this->overall);
  }
  return this->Blend(*found->second, &this->ModelHistogram(key.model));
}

std::shared_ptr<const LengthSurvivalCurve> LearnedLengthModel::OverallCurve() {
  return this->Blend(this->overall, nullptr);
}

std::size_t LearnedLengthModel::BytesPerKey() {
  return sizeof(Histogram) + sizeof(LengthSurvivalCurve);
}

std::shared_ptr<const LengthSurvivalCurve> LearnedLengthModel::Blend(
    Histogram& own, const Histogram* prior) const {
  const bool stale =
      own.new_observations >= kRefreshEvery ||
      static_cast<float>(own.new_observations) > own.total * kRefreshShare;
  if (own.curve != nullptr && !stale) {
    return own.curve;
  }
  static const std::array<float, kLengthBuckets> kInitialPrior = InitialPrior();
  const auto weight = static_cast<float>(this->options.prior_weight);
  std::array<float, kLengthBuckets> blended = {};
  for (std::size_t i = 0; i < kLengthBuckets; ++i) {
    float prior_value = kInitialPrior[i];
    if (prior != nullptr && prior->total > 0.0F) {
      // The initial prior remains with the weight of one observation.
      prior_value = (prior->weights[i] + prior_value) / (prior->total + 1.0F);
    }
    blended[i] = own.weights[i] + weight * prior_value;
  }
  own.curve = std::make_shared<const LengthSurvivalCurve>(blended);
  own.new_observations = 0;
  return own.curve;
}

LearnedLengthModel::Histogram& LearnedLengthModel::ModelHistogram(
    const std::string& model) {
  const auto found = this->models.find(model);
  if (found != this->models.end()) {
    return *found->second;
  }
  if (this->models.size() >= kMaxModels) {
    return this->overall;
  }
  auto& added = this->models[model];
  added = std::make_unique<Histogram>();
  return *added;
}

LearnedLengthModel::Histogram& LearnedLengthModel::KeyHistogram(
    const std::string& joined_key) {
  const auto found = this->keys.find(joined_key);
  if (found != this->keys.end()) {
    Histogram& state = *found->second;
    this->recency.splice(this->recency.begin(), this->recency,
                         state.recency_position);
    return state;
  }
  if (this->keys.size() >= this->options.max_keys) {
    this->keys.erase(this->recency.back());
    this->recency.pop_back();
  }
  this->recency.push_front(joined_key);
  auto& added = this->keys[joined_key];
  added = std::make_unique<Histogram>();
  added->recency_position = this->recency.begin();
  return *added;
}

}  // namespace meadowthread
